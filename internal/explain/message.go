package explain

// Messages of the log lines that tell how a request ended for its caller.
const (
	MessageAnswered  = "relay: Answered." // also follows MessageBrokenOff
	MessageBrokenOff = "relay: Broken off."
	MessageRefused   = "relay: Refused."
	// The others are refusals at the entry, before the request was routed.
	MessageNoRoute       = "relay: No route."
	MessageNoKey         = "relay: No team has the key."
	MessageUnconfirmed   = "relay: Refused, keys may have changed."
	MessageOutdated      = "relay: Refused by an outdated configuration."
	MessageNoQuota       = "relay: The quota is spent."
	MessageNoQuotaKeeper = "relay: No keeper of quotas was asked."
)

// OutcomeServed is the outcome of an answer that went well, as its log line names it.
const OutcomeServed = "served"
