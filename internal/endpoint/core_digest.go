package endpoint

import (
	"sort"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// digests lists this home's endpoints by ID. staticVersion numbers the set of
// endpoints and the data that rarely changes. A follower that already has it
// gets brief digests, each identified by its position in the list. Cache
// prefixes are included only if they changed since cacheVersion.
func (c *core) digests(now time.Time, staticVersion, cacheVersion uint64) *pb.DigestReply {
	c.digestSequence++
	reply := &pb.DigestReply{Home: c.self.Proto(), Sequence: c.digestSequence}
	if !c.current {
		return reply
	}
	reply.StaticVersion = c.staticVersion
	reply.CacheVersion = c.cacheVersion
	for _, r := range c.publishedRecords() {
		d := c.dynamicDigest(now, r)
		if staticVersion != c.staticVersion {
			fillStatic(d, r)
			d.Sequence = c.digestSequence
		}
		if r.cacheVersion > cacheVersion {
			d.CachedPrefixes = r.cache.newest(maxDigestPrefixes)
			d.CacheSequence = r.cacheVersion
		}
		reply.Digests = append(reply.Digests, d)
	}
	return reply
}

// publishedRecords returns the endpoints that digests list. Whatever changes
// the set increments staticVersion.
func (c *core) publishedRecords() []*record {
	list := make([]*record, 0, len(c.endpoints))
	for _, r := range c.endpoints {
		if c.isHome(r) && !r.unreachable && r.hasHeldList {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].announced.ID < list[b].announced.ID })
	return list
}

// briefDigest returns the brief digest of one endpoint, to attach to another
// reply.
func (c *core) briefDigest(now time.Time, id fleet.EndpointID) []*pb.EndpointDigest {
	r, ok := c.endpoints[id]
	if !ok || !c.isHome(r) || r.unreachable || !r.hasHeldList {
		return nil
	}
	c.digestSequence++
	d := c.dynamicDigest(now, r)
	d.Id = string(id)
	d.Incarnation = uint64(r.announced.Incarnation)
	d.Sequence = c.digestSequence
	return []*pb.EndpointDigest{d}
}

// dynamicDigest returns a brief digest, without the endpoint's identity.
func (c *core) dynamicDigest(now time.Time, r *record) *pb.EndpointDigest {
	return &pb.EndpointDigest{
		Granted:      uint32(r.used() + len(r.pending())),
		Queued:       uint32(r.queue.size),
		NextFreeMs:   uint64(c.freeIn(now, r, r.queue.size).Milliseconds()),
		QueuedWorkMs: uint64(c.queuedWork(now, r).Milliseconds()),
		Leaving:      r.leaving,
		TokenTimeUs:  uint32(c.tokenTime(r).Microseconds()),
		Brief:        true,

		GrantsUnknown: !c.current || r.missedView || !r.knowsAllGrants,
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
	d.ChecksTokens = a.ChecksFencingTokens
	d.Software = a.Software
	for _, m := range a.Models {
		d.Models = append(d.Models, m.String())
	}
}

// tokenTime prefers the engine's own value, which reflects its current batch.
func (c *core) tokenTime(r *record) time.Duration {
	if t := r.load.TokenTimeMs; t > 0 && t < 10_000 {
		return millis(t)
	}
	if len(r.announced.Models) == 0 {
		return 0
	}
	return c.predictor.TokenTime(r.announced.Models[0].String())
}

// cacheEvents applies numbered events and reports whether the endpoint's full
// cache has to be requested.
func (c *core) cacheEvents(e engineapi.CacheEvents) (resync bool) {
	r, ok := c.lookup(e.ID, e.Incarnation)
	if !ok {
		return false
	}
	before := r.cache.version
	resync = r.cache.apply(e.Events)
	if resync {
		c.effects.resyncs = append(c.effects.resyncs, r.target())
	}
	if resync || r.cache.version != before {
		c.cacheVersion++
		r.cacheVersion = c.cacheVersion
	}
	return resync
}

func (c *core) cacheSnapshot(id fleet.EndpointID, incarnation fleet.Incarnation, s engineapi.CacheSnapshot) {
	r, ok := c.lookup(id, incarnation)
	if ok && r.cache.resync(s) {
		c.cacheVersion++
		r.cacheVersion = c.cacheVersion
	}
}
