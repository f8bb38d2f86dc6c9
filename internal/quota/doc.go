// Package quota keeps teams within their quotas over all entries.
//
// Each control instance is a keeper: it has an equal share of every team's quota in a
// Ledger of its own, and gives parts of it to the entries that ask, one question for
// each request (Client, Server). A request is turned away for its quota only when all
// keepers that can be reached have nothing left.
//
// Keepers need no word of each other, so that no failure lets a quota be spent twice:
// a keeper that dies, freezes or is cut off takes its share with it, one that begins
// anew has saved up nothing, and one that wakes has earned for the time of its sleep
// no more than a full share.
package quota
