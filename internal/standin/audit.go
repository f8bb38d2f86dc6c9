package standin

import (
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Audit is what one endpoint process did. Times of day are unix ms.
type Audit struct {
	Endpoint    fleet.EndpointID       `json:"endpoint"`
	Incarnation fleet.Incarnation      `json:"incarnation"`
	Zone        fleet.AvailabilityZone `json:"availability_zone"`
	Role        fleet.EndpointRole     `json:"role"`

	Runs      int `json:"runs"` // prefills and decodes begun
	Tokens    int `json:"tokens"`
	Cancelled int `json:"cancelled"`
	Orders    int `json:"orders"`

	// PrefillMs is used, discarded or not settled yet. Used means that the KV
	// cache has left whole; an attempt whose decode never began is seen at the
	// decode engine, by a Fact with Imports but without Decodes.
	PrefillMs          float64 `json:"prefill_ms"`
	PrefillUsedMs      float64 `json:"prefill_used_ms"`
	PrefillDiscardedMs float64 `json:"prefill_discarded_ms"`

	Held        int     `json:"held"`
	MostHeld    int     `json:"most_held"`
	HeldSeconds float64 `json:"held_seconds"` // requests times seconds

	Leaving        bool  `json:"leaving"`
	LastStartAfter int64 `json:"last_start_after_leave_ms"` // newest work after the leave; 0: none

	Attempts  []Fact    `json:"attempts"`
	CallRuns  []CallRun `json:"call_runs"`
	Repeated  []string  `json:"repeated"`  // markers of plain calls that ran more than once
	Forgotten int       `json:"forgotten"` // facts and runs over the bound
}

// Fact is what happened to one attempt here.
type Fact struct {
	Attempt     fleet.AttemptID        `json:"attempt_id"`
	Owner       fleet.Owner            `json:"owner"`
	Zone        fleet.AvailabilityZone `json:"availability_zone"` // of this endpoint
	Marker      string                 `json:"marker"`
	Prefills    int                    `json:"prefills"`
	Imports     int                    `json:"imports"`
	Decodes     int                    `json:"decodes"`
	Calls       int                    `json:"calls"`
	PrefillMs   float64                `json:"prefill_ms"`
	PrefillUsed bool                   `json:"prefill_used"`
	Offset      int                    `json:"offset"` // where decode began
	Tokens      int                    `json:"tokens"` // made here
	Finish      engineapi.Finish       `json:"finish"`
	Cancelled   bool                   `json:"cancelled"`
	StartedMs   int64                  `json:"started_ms"`
	EndedMs     int64                  `json:"ended_ms"` // 0: still held

	prefixes []uint64
}

// recorder collects the Audit. Standin.mu guards it.
type recorder struct {
	audit   Audit
	most    int
	facts   map[fleet.AttemptID]*Fact
	order   []*Fact
	markers map[string]int
	changed time.Time
}

func newRecorder(most int) *recorder {
	return &recorder{most: most, facts: map[fleet.AttemptID]*Fact{}, markers: map[string]int{}}
}

// fact gives the record of an attempt; over the bound, one that isn't kept.
func (r *recorder) fact(zone fleet.AvailabilityZone, w engineapi.Work, marker string, now time.Time) *Fact {
	if f, ok := r.facts[w.Attempt]; ok {
		f.EndedMs = 0
		return f
	}
	f := &Fact{Attempt: w.Attempt, Owner: w.Owner, Zone: zone, Marker: marker, StartedMs: now.UnixMilli()}
	if len(r.order) >= r.most {
		r.audit.Forgotten++
		return f
	}
	r.facts[w.Attempt] = f
	r.order = append(r.order, f)
	return f
}

// settle counts the prefill work of a hold that is freed.
func (r *recorder) settle(h *hold) {
	if h.work == 0 {
		return
	}
	done := ms(h.work - h.left)
	r.audit.PrefillMs += done
	if h.fact.PrefillUsed {
		r.audit.PrefillUsedMs += done
		return
	}
	r.audit.PrefillDiscardedMs += done
}

func (r *recorder) heldChanged(now time.Time, held int) {
	r.integrate(now)
	r.audit.Held = held
	r.audit.MostHeld = max(r.audit.MostHeld, held)
}

func (r *recorder) integrate(now time.Time) {
	if !r.changed.IsZero() {
		r.audit.HeldSeconds += float64(r.audit.Held) * now.Sub(r.changed).Seconds()
	}
	r.changed = now
}

func (r *recorder) startedLeaving(after time.Duration) {
	r.audit.LastStartAfter = max(r.audit.LastStartAfter, after.Milliseconds(), 1)
}

func (r *recorder) call(run CallRun) {
	if len(r.audit.CallRuns) >= r.most {
		r.audit.Forgotten++
		return
	}
	r.audit.CallRuns = append(r.audit.CallRuns, run)
	r.markers[run.Marker]++
	if r.markers[run.Marker] == 2 {
		r.audit.Repeated = append(r.audit.Repeated, run.Marker)
	}
}

// Audit gives a copy of what this process did so far.
func (s *Standin) Audit() Audit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.auditNow()
}

// auditNow is Audit with mu held.
func (s *Standin) auditNow() Audit {
	s.recorder.integrate(time.Now())
	a := s.recorder.audit
	a.Endpoint, a.Incarnation, a.Zone = s.options.ID, s.options.Incarnation, s.options.Zone
	a.Role = s.role
	a.Leaving = s.leaving
	a.Attempts = make([]Fact, len(s.recorder.order))
	for n, f := range s.recorder.order {
		a.Attempts[n] = *f
	}
	a.CallRuns = append([]CallRun(nil), a.CallRuns...)
	a.Repeated = append([]string(nil), a.Repeated...)
	return a
}

func (s *Standin) serveAudit(w http.ResponseWriter, _ *http.Request) { reply(w, s.Audit()) }
