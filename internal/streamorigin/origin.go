package streamorigin

import (
	"time"
	"unique"
)

// Origin is where a stream began. What endpoints of two services or software versions write
// does not fit together.
type Origin struct {
	Service  string
	Software string // version
}

// record is what is known of one stream.
type record struct {
	origin    unique.Handle[Origin] // few origins are shared by many records
	endpoint  EndpointSum
	ambiguous bool // streams of two origins have the key
	recorded  time.Time
	expires   time.Time
	// restored is set if the record is one of an earlier process, so that recorded isn't known.
	restored bool
}

// doubtfulAt returns the time at which the endpoint must have run the record's version alone. For a
// restored record that is the present: an entry may have taken a process for the one before it under
// its ID, never for one after it, so that a record of the latest version is right.
func (r record) doubtfulAt(now time.Time) time.Time {
	if r.restored {
		return now
	}
	return r.recorded
}
