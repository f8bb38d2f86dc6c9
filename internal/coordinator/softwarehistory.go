package coordinator

import (
	"slices"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/catalog"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/streamorigin"
)

// softwareRetention is how long a version that no endpoint runs any more is remembered, longer
// than any stream lives.
const softwareRetention = time.Hour

// softwareHistory tells which software versions endpoints run and ran, as of one revision. What
// was before the start of this process counts as present at that time. Its lock is held while the
// catalog, whose lock is a leaf, is read.
type softwareHistory struct {
	mu        sync.Mutex
	revision  uint64
	read      bool                                  // the catalog was read once
	endpoints map[string]endpointSoftware           // by ID
	sums      map[streamorigin.EndpointSum][]string // IDs of the endpoints with a checksum
	services  map[string]map[string]*versionUse     // by service and version
	forgotAt  time.Time                             // last removal of what is old
}

// versionUse is the use of one version by a service's endpoints.
type versionUse struct {
	running   int
	retiredAt time.Time // when the last one ended
}

// update reads the changes of the catalog. The caller holds h.mu.
func (h *softwareHistory) update(machine *catalog.Machine, now time.Time) {
	if revision, _ := machine.Revision(); h.read && revision == h.revision {
		return
	}
	changed, newest, complete := machine.EndpointsSince(h.revision)
	if !h.read || !complete {
		changed, newest, _ = machine.EndpointsSince(0)
		h.reset(now)
	}
	h.revision, h.read = newest, true
	for _, e := range changed {
		h.apply(e, now)
	}
	h.forgetOld(now)
}

// reset forgets the endpoints, some of which may have been dropped from the catalog, but not
// which versions there were. The caller holds h.mu.
func (h *softwareHistory) reset(now time.Time) {
	for _, e := range h.endpoints {
		h.retire(e, now)
	}
	h.endpoints, h.sums = map[string]endpointSoftware{}, map[streamorigin.EndpointSum][]string{}
	if h.services == nil {
		h.services = map[string]map[string]*versionUse{}
	}
}

// apply takes in the record of an endpoint. The caller holds h.mu.
func (h *softwareHistory) apply(r *pb.EndpointRecord, now time.Time) {
	if r.Service == "" {
		return // it has retired before its first heartbeat
	}
	known, found := h.endpoints[r.Id]
	h.retire(known, now)
	changed := r.PreviousSoftware != "" && r.PreviousSoftware != known.previous
	if changed {
		h.use(r.Service, r.PreviousSoftware).retiredAt = now
	}
	latest := endpointSoftware{service: r.Service, previous: r.PreviousSoftware, reusesID: r.Born != 0, versions: known.versions}
	if changed && known.latest() != r.PreviousSoftware {
		latest.versions = latest.list(r.PreviousSoftware, since(found, now))
	}
	latest.versions = latest.list(r.Software, since(found || changed, now))
	if use := h.use(r.Service, r.Software); r.State == pb.EndpointState_ENDPOINT_STATE_GONE {
		use.retiredAt, latest.goneAt = now, now
	} else {
		use.running++
	}
	h.add(r.Id, latest)
}

// since returns when a version was first listed: now, unless it is the first known one.
func since(known bool, now time.Time) time.Time {
	if known {
		return now
	}
	return time.Time{}
}

// add stores the version of an endpoint. The caller holds h.mu.
func (h *softwareHistory) add(id string, e endpointSoftware) {
	h.endpoints[id] = e
	sum := streamorigin.SumOf(id)
	if !slices.Contains(h.sums[sum], id) {
		h.sums[sum] = append(h.sums[sum], id)
	}
}

// remove forgets an endpoint. The caller holds h.mu.
func (h *softwareHistory) remove(id string) {
	delete(h.endpoints, id)
	sum := streamorigin.SumOf(id)
	h.sums[sum] = slices.DeleteFunc(h.sums[sum], func(other string) bool { return other == id })
	if len(h.sums[sum]) == 0 {
		delete(h.sums, sum)
	}
}

// retire ends the use of a version by one endpoint; the zero value is none. The caller holds
// h.mu.
func (h *softwareHistory) retire(e endpointSoftware, now time.Time) {
	if e.service == "" || !e.goneAt.IsZero() {
		return
	}
	use := h.use(e.service, e.latest())
	use.running--
	use.retiredAt = now
}

// use returns the use of a version by a service. The caller holds h.mu.
func (h *softwareHistory) use(service, version string) *versionUse {
	if h.services[service] == nil {
		h.services[service] = map[string]*versionUse{}
	}
	use := h.services[service][version]
	if use == nil {
		use = &versionUse{}
		h.services[service][version] = use
	}
	return use
}

// forgetOld removes versions that were retired and endpoints that left long ago. The caller
// holds h.mu.
func (h *softwareHistory) forgetOld(now time.Time) {
	if now.Sub(h.forgotAt) < softwareRetention {
		return
	}
	h.forgotAt = now
	for id, e := range h.endpoints {
		if !e.goneAt.IsZero() && now.Sub(e.goneAt) > softwareRetention {
			h.remove(id)
		}
	}
	for _, versions := range h.services {
		for version, use := range versions {
			if use.running == 0 && now.Sub(use.retiredAt) > softwareRetention {
				delete(versions, version)
			}
		}
	}
}

// sole returns the version that all endpoints of a service have run since a time.
func (h *softwareHistory) sole(service string, since time.Time) (version string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for other, use := range h.services[service] {
		if use.running == 0 && use.retiredAt.Before(since) {
			continue
		}
		if ok {
			return "", false
		}
		version, ok = other, true
	}
	return version, ok
}

// mayHaveRunOther reports whether an endpoint may have run another version at a time.
func (h *softwareHistory) mayHaveRunOther(sum streamorigin.EndpointSum, version string, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.sums[sum], func(id string) bool { return h.endpoints[id].ranOther(version, at) })
}

func (h *softwareHistory) reusesID(sum streamorigin.EndpointSum) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.sums[sum], func(id string) bool { return h.endpoints[id].reusesID })
}
