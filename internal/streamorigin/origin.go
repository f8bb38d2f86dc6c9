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
}
