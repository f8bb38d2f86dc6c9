package streamorigin

import (
	"context"
	"time"
)

// SoftwareHistory tells which software versions endpoints ran. It is safe for concurrent use.
type SoftwareHistory interface {
	// MayHaveRunOther reports whether an endpoint may have run another version than the given
	// one at a time.
	MayHaveRunOther(endpoint EndpointSum, software string, at time.Time) bool
	// ReusesID reports whether an endpoint may start again under its ID.
	ReusesID(endpoint EndpointSum) bool
	// SoleSoftware returns the version that all endpoints of a service have run for some time,
	// up to now, as confirmed by a quorum. sole is false if there were several or none.
	SoleSoftware(ctx context.Context, service string, within time.Duration) (software string, sole bool, err error)
	// InContact reports whether this instance is in contact with the leader.
	InContact() bool
}
