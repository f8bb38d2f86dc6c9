package streamorigin

import (
	"time"
	"unique"
)

// maxRecords limits the records of one table, some 55 MB. Beyond it no stream is added.
const maxRecords = 1 << 19

// sweepInterval is the minimum time between two removals of expired records.
const sweepInterval = 2 * time.Second

// table holds the records of streams. It is not safe for concurrent use.
type table struct {
	records map[Key]record
	sweptAt time.Time
}

func newTable() *table { return &table{records: map[Key]record{}} }

// put records a stream, or extends its record, and reports whether there was room.
func (t *table) put(now time.Time, key Key, origin Origin, endpoint EndpointSum, ttl time.Duration) bool {
	t.sweep(now)
	known, found := t.get(now, key)
	added := record{origin: unique.Make(origin), endpoint: endpoint, recorded: now, expires: now.Add(ttl)}
	if !found {
		if len(t.records) >= maxRecords {
			return false
		}
		t.records[key] = added
		return true
	}
	added.ambiguous = known.ambiguous || known.origin != added.origin
	if added.expires.Before(known.expires) {
		added.expires = known.expires
	}
	t.records[key] = added
	return true
}

// restore adds a record of an earlier process, as if it had just been made.
func (t *table) restore(now time.Time, key Key, origin Origin, endpoint EndpointSum, ttl time.Duration) {
	if t.put(now, key, origin, endpoint, ttl) {
		r := t.records[key]
		r.restored = true
		t.records[key] = r
	}
}

// live returns the records that have not expired. Ambiguous ones are left out: they are as good as
// unknown.
func (t *table) live(now time.Time) []stream {
	var streams []stream
	for key, r := range t.records {
		if now.Before(r.expires) && !r.ambiguous {
			streams = append(streams, stream{key: key, origin: r.origin, endpoint: r.endpoint, ttl: r.expires.Sub(now)})
		}
	}
	return streams
}

// get returns the record of a stream.
func (t *table) get(now time.Time, key Key) (r record, found bool) {
	r, found = t.records[key]
	if !found || !now.Before(r.expires) {
		return record{}, false
	}
	return r, true
}

// sweep removes expired records.
func (t *table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for key, r := range t.records {
		if !now.Before(r.expires) {
			delete(t.records, key)
		}
	}
}
