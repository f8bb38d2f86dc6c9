package endpoint

import (
	"sort"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// digests lists the endpoints that this home grants, by ID. For a follower
// that has the same statics, which number the set and all that doesn't change
// from moment to moment, the list is brief and the place tells the endpoint.
// Cache prefixes go only where they changed since caches.
func (c *core) digests(now time.Time, statics, caches uint64) *pb.DigestReply {
	c.sequence++
	reply := &pb.DigestReply{Home: c.self.Proto(), Sequence: c.sequence}
	if !c.current {
		return reply
	}
	reply.StaticVersion = c.statics
	reply.CacheVersion = c.caches
	for _, r := range c.listed() {
		d := c.figures(now, r)
		if statics != c.statics {
			fillStatic(d, r)
			d.Sequence = c.sequence
		}
		if r.cacheAt > caches {
			d.CachedPrefixes = r.cache.newest(maxDigestPrefix)
			d.CacheSequence = r.cacheAt
		}
		reply.Digests = append(reply.Digests, d)
	}
	return reply
}

// listed gives the endpoints that digests tell of. Whatever changes the set
// raises statics.
func (c *core) listed() []*record {
	list := make([]*record, 0, len(c.endpoints))
	for _, r := range c.endpoints {
		if c.isHome(r) && !r.silent && r.beat {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].announced.ID < list[b].announced.ID })
	return list
}

// one gives the brief digest of one endpoint, for a piggyback.
func (c *core) one(now time.Time, id fleet.EndpointID) []*pb.EndpointDigest {
	r, ok := c.endpoints[id]
	if !ok || !c.isHome(r) || r.silent || !r.beat {
		return nil
	}
	c.sequence++
	d := c.figures(now, r)
	d.Id = string(id)
	d.Incarnation = uint64(r.announced.Incarnation)
	d.Sequence = c.sequence
	return []*pb.EndpointDigest{d}
}

// figures is a brief digest.
func (c *core) figures(now time.Time, r *record) *pb.EndpointDigest {
	return &pb.EndpointDigest{
		Granted:      uint32(r.used() + len(r.promised())),
		Queued:       uint32(r.queue.size),
		NextFreeMs:   uint64(c.freeIn(now, r, r.queue.size).Milliseconds()),
		QueuedWorkMs: uint64(c.queuedWork(now, r).Milliseconds()),
		Leaving:      r.leaving,
		TokenTimeUs:  uint32(c.tokenTime(r).Microseconds()),
		Brief:        true,
	}
}

func fillStatic(d *pb.EndpointDigest, r *record) {
	a := r.announced
	d.Brief = false
	d.Id = string(a.ID)
	d.Incarnation = uint64(a.Incarnation)
	d.AvailabilityZone = string(a.Zone)
	d.Address = a.Address
	d.Role = string(a.Role)
	d.Service = a.Service
	d.Slots = uint32(a.Slots)
	d.ChecksTokens = a.ChecksTokens
	for _, m := range a.Models {
		d.Models = append(d.Models, m.String())
	}
}

// tokenTime prefers the engine's own figure, which knows its batch.
func (c *core) tokenTime(r *record) time.Duration {
	if t := r.load.TokenTimeMs; t > 0 && t < 10_000 {
		return millis(t)
	}
	if len(r.announced.Models) == 0 {
		return 0
	}
	return c.predictor.TokenTime(r.announced.Models[0].String())
}

// cacheEvents takes numbered events; it tells whether the endpoint's whole
// cache has to be asked for.
func (c *core) cacheEvents(e engineapi.CacheEvents) (resync bool) {
	r, ok := c.known(e.ID, e.Incarnation)
	if !ok {
		return false
	}
	before := r.cache.version
	resync = r.cache.apply(e.Events)
	if resync {
		c.out.resyncs = append(c.out.resyncs, r.target())
	}
	if resync || r.cache.version != before {
		c.caches++
		r.cacheAt = c.caches
	}
	return resync
}

func (c *core) cacheSnapshot(id fleet.EndpointID, incarnation fleet.Incarnation, s engineapi.CacheSnapshot) {
	r, ok := c.known(id, incarnation)
	if ok && r.cache.resync(s) {
		c.caches++
		r.cacheAt = c.caches
	}
}
