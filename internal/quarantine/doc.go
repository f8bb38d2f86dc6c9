// Package quarantine contains requests that crash each endpoint that runs
// them. Suspects are those that ran on an endpoint when it died; they are
// retried alone, and a second death with a sole suspect puts it in quarantine.
package quarantine
