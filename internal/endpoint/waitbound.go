package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Endpoints are chosen by digests that are up to a few hundred milliseconds
// old, and other daemons choose by the same ones meanwhile. Several of them can
// send their prefills to the engine that was least loaded, so that all but the
// first are late while other engines are idle. Therefore each acquisition
// states the wait that its daemon predicts, and the home, whose data is exact,
// refuses it if the wait would be longer. The reply carries the home's data,
// and the daemon chooses again among the other endpoints.
const (
	// predictedWaitSlack is how much longer than predicted the wait may be.
	predictedWaitSlack = 100 * time.Millisecond
	// maxStaleRefusals is how many acquisitions of one attempt may be refused
	// for this reason. The next one waits at whichever endpoint it chooses.
	maxStaleRefusals = 2
	// minSpareEndpoints is how many endpoints must remain after those refusals:
	// a retry may have to avoid one that failed, and another must take the
	// request.
	minSpareEndpoints = 2
	// maxRefusalCounts bounds the attempts whose refusals are counted.
	maxRefusalCounts = 4096
)

// refusalCounts counts the acquisitions of an attempt that were refused because
// the wait was longer than predicted. It is guarded by the follower's slotsMu.
type refusalCounts map[holdKey]int

// add counts one refusal. A full map is cleared first, so an attempt may be
// refused more often than maxStaleRefusals.
func (c refusalCounts) add(key holdKey) {
	if len(c) >= maxRefusalCounts {
		clear(c)
	}
	c[key]++
}

// maxPredictedWait returns the wait bound of an acquisition: the smaller of the
// caller's bound and that of the last digest. 0 means no bound.
func (c *HomeClient) maxPredictedWait(now time.Time, x *index, target *followedEndpoint, r GrantRequest) time.Duration {
	fromDigest := c.digestWaitBound(now, x, target, r)
	if fromDigest == 0 || (r.MaxPredictedWait > 0 && r.MaxPredictedWait < fromDigest) {
		return r.MaxPredictedWait
	}
	return fromDigest
}

// digestWaitBound returns the bound by the endpoint's last digest, or 0 for
// none.
func (c *HomeClient) digestWaitBound(now time.Time, x *index, target *followedEndpoint, r GrantRequest) time.Duration {
	if r.Kind == fleet.RolePlain || r.Alone {
		return 0
	}
	c.slotsMu.Lock()
	refused := c.refusalCounts[holdKey{r.Attempt, r.Kind}]
	c.slotsMu.Unlock()
	if refused >= maxStaleRefusals || x.countMatching(r, c.permittedZones(r.Team)) < maxStaleRefusals+minSpareEndpoints {
		return 0
	}
	var candidate Candidate
	if !target.fill(now, &candidate) {
		return 0
	}
	return candidate.SlotWait + candidate.QueuedWork + predictedWaitSlack
}

func (c *HomeClient) permittedZones(team fleet.Team) fleet.ZoneSet {
	tree := c.options.Source.State().Tree
	if tree == nil {
		return fleet.ZoneSet{}
	}
	settings, ok := tree.Teams[team]
	if !ok {
		return fleet.ZoneSet{}
	}
	return settings.Permitted()
}

// countMatching returns how many followed endpoints could take the request.
func (x *index) countMatching(r GrantRequest, permitted fleet.ZoneSet) int {
	count := 0
	for _, zone := range x.groups[indexKey{kind: r.Kind, model: r.Model}] {
		if permitted.Permits(zone.zone) {
			count += len(zone.endpoints)
		}
	}
	return count
}

// recordOutcome counts a refusal of an attempt. After any other outcome it
// forgets the attempt's refusals.
func (c *HomeClient) recordOutcome(key holdKey, refused bool) {
	c.slotsMu.Lock()
	defer c.slotsMu.Unlock()
	if refused {
		c.refusalCounts.add(key)
		return
	}
	delete(c.refusalCounts, key)
}
