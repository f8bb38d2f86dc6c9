package allocation

import "time"

const (
	// maxPlacesPerStream is how often a stream gets a place before new requests: a caller that names
	// the same stream again and again gains nothing by it.
	maxPlacesPerStream = 3
	// streamPlacesTTL is how long the places of a stream count after the latest one.
	streamPlacesTTL = time.Minute
	// maxTrackedStreams bounds the streams whose places are counted, some 400 KB. Beyond it, streams
	// that aren't counted get no place before others.
	maxTrackedStreams = 1 << 13
)

// streamPlaces counts the places that streams got before new requests. It is not safe for
// concurrent use.
type streamPlaces struct {
	counts  map[uint64]placeCount // by stream
	sweptAt time.Time
}

type placeCount struct {
	places int
	latest time.Time
}

// mayTake reports whether a stream gets another place before new requests; 0 is no stream.
func (p *streamPlaces) mayTake(now time.Time, stream uint64) bool {
	if stream == 0 {
		return false
	}
	p.sweep(now)
	count, counted := p.counts[stream]
	return counted && count.places < maxPlacesPerStream || !counted && len(p.counts) < maxTrackedStreams
}

// record records that a stream has got one.
func (p *streamPlaces) record(now time.Time, stream uint64) {
	if p.counts == nil {
		p.counts = map[uint64]placeCount{}
	}
	p.counts[stream] = placeCount{places: p.counts[stream].places + 1, latest: now}
}

// sweep removes what no longer counts.
func (p *streamPlaces) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < streamPlacesTTL/4 {
		return
	}
	p.sweptAt = now
	for stream, count := range p.counts {
		if now.Sub(count.latest) > streamPlacesTTL {
			delete(p.counts, stream)
		}
	}
}
