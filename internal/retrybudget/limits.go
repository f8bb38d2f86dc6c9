package retrybudget

import "time"

// Limits is the bound for the whole fleet, for each service.
type Limits struct {
	Ratio  float64       // extra arrivals allowed per request
	Slack  float64       // extra arrivals allowed in addition
	Window time.Duration // period over which requests and arrivals are counted
}
