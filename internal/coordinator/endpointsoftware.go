package coordinator

import (
	"slices"
	"time"
)

// registrationDelay is how long an endpoint that has started again under its ID may take to be in
// the catalog: it reports at its start, and if that is lost with its next heartbeat.
const registrationDelay = 5 * time.Second

// endpointSoftware is the versions that an endpoint has run, the latest one last.
type endpointSoftware struct {
	service  string
	versions []versionSince
	previous string    // version before the latest, as recorded; empty for none
	reusesID bool      // the endpoint may start again under its ID
	goneAt   time.Time // when the endpoint left; zero while it may be running
}

// versionSince is a version that an endpoint was listed with from a time on; zero if it was so when
// the catalog was first read.
type versionSince struct {
	version string
	since   time.Time
}

// maxEndpointVersions is how many versions of one endpoint are remembered: one that starts again
// more often within softwareRetention forgets the oldest.
const maxEndpointVersions = 16

// latest returns the version that the endpoint is listed with; empty for the zero value.
func (e endpointSoftware) latest() string {
	if len(e.versions) == 0 {
		return ""
	}
	return e.versions[len(e.versions)-1].version
}

// list returns the versions with one that the endpoint is listed with from now on.
func (e endpointSoftware) list(version string, now time.Time) []versionSince {
	if len(e.versions) > 0 && e.latest() == version {
		return e.versions
	}
	kept := e.versions[max(0, len(e.versions)+1-maxEndpointVersions):]
	return append(slices.Clone(kept), versionSince{version: version, since: now})
}

// ranOther reports whether the endpoint was listed with another version than the given one at a
// time, or within registrationDelay of it.
func (e endpointSoftware) ranOther(version string, at time.Time) bool {
	for n, v := range e.versions {
		ended := n+1 < len(e.versions) && !e.versions[n+1].since.After(at)
		if v.version != version && !ended && v.since.Before(at.Add(registrationDelay)) {
			return true
		}
	}
	return false
}
