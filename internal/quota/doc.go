// Package quota enforces the quotas of teams over all entries.
//
// Each control instance is a quota server: it holds an equal share of every team's quota in a
// Ledger of its own, and grants parts of it to the entries, which ask once for each request
// (Client, Server). A request is rejected for its quota only if all quota servers that can
// be reached have nothing left.
//
// Quota servers don't communicate with each other, so that no failure lets a quota be used
// twice: the share of a server that dies, freezes or loses contact is unavailable, a server
// that restarts has an empty ledger, and one that resumes after a freeze has accrued no more
// than a full share for that time.
package quota
