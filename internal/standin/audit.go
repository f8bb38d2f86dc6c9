package standin

import (
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Audit records what one endpoint process did. Times of day are Unix time in ms.
type Audit struct {
	Endpoint    fleet.EndpointID       `json:"endpoint"`
	Incarnation fleet.Incarnation      `json:"incarnation"`
	Zone        fleet.AvailabilityZone `json:"availability_zone"`
	Role        fleet.EndpointRole     `json:"role"`

	Runs      int `json:"runs"` // prefills and decodes started
	Tokens    int `json:"tokens"`
	Cancelled int `json:"cancelled"`
	Orders    int `json:"orders"`

	// PrefillMs is the sum of used and discarded prefill work, counted when a request
	// is freed. Work counts as used if the KV cache was transferred completely; if
	// the decode then never started, the decode engine has an AttemptRecord with
	// Imports but without Decodes.
	PrefillMs          float64 `json:"prefill_ms"`
	PrefillUsedMs      float64 `json:"prefill_used_ms"`
	PrefillDiscardedMs float64 `json:"prefill_discarded_ms"`

	Held        int     `json:"held"`
	MaxHeld     int     `json:"most_held"`
	HeldSeconds float64 `json:"held_seconds"` // sum over the held requests

	Leaving               bool  `json:"leaving"`
	LastStartAfterLeaveMs int64 `json:"last_start_after_leave_ms"` // ms from the leave to the last work started after it; 0: none

	Attempts   []AttemptRecord `json:"attempts"`
	CallRuns   []CallRun       `json:"call_runs"`
	Repeated   []string        `json:"repeated"`  // markers of plain calls that ran more than once
	Unrecorded int             `json:"forgotten"` // attempts and runs not recorded because of the limit
}

// AttemptRecord records what happened to one attempt at this endpoint.
type AttemptRecord struct {
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
	Offset      int                    `json:"offset"` // first output token of the decode
	Tokens      int                    `json:"tokens"` // generated here
	Finish      engineapi.Finish       `json:"finish"`
	Cancelled   bool                   `json:"cancelled"`
	StartedMs   int64                  `json:"started_ms"`
	EndedMs     int64                  `json:"ended_ms"` // 0: still held

	prefixes []uint64
}

// auditRecorder collects the Audit. Standin.mu guards it.
type auditRecorder struct {
	audit         Audit
	maxRecords    int
	byAttempt     map[fleet.AttemptID]*AttemptRecord
	records       []*AttemptRecord
	runsByMarker  map[string]int
	heldChangedAt time.Time
}

func newAuditRecorder(maxRecords int) *auditRecorder {
	return &auditRecorder{maxRecords: maxRecords, byAttempt: map[fleet.AttemptID]*AttemptRecord{}, runsByMarker: map[string]int{}}
}

// record returns the record of an attempt. Past the limit a new record isn't kept.
func (r *auditRecorder) record(zone fleet.AvailabilityZone, w engineapi.Work, marker string, now time.Time) *AttemptRecord {
	if known, ok := r.byAttempt[w.Attempt]; ok {
		known.EndedMs = 0
		return known
	}
	record := &AttemptRecord{Attempt: w.Attempt, Owner: w.Owner, Zone: zone, Marker: marker, StartedMs: now.UnixMilli()}
	if len(r.records) >= r.maxRecords {
		r.audit.Unrecorded++
		return record
	}
	r.byAttempt[w.Attempt] = record
	r.records = append(r.records, record)
	return record
}

// countPrefillWork counts the prefill work of a request that is being freed.
func (r *auditRecorder) countPrefillWork(h *heldRequest) {
	if h.work == 0 {
		return
	}
	done := milliseconds(h.work - h.workLeft)
	r.audit.PrefillMs += done
	if h.record.PrefillUsed {
		r.audit.PrefillUsedMs += done
		return
	}
	r.audit.PrefillDiscardedMs += done
}

func (r *auditRecorder) heldChanged(now time.Time, held int) {
	r.addHeldTime(now)
	r.audit.Held = held
	r.audit.MaxHeld = max(r.audit.MaxHeld, held)
}

func (r *auditRecorder) addHeldTime(now time.Time) {
	if !r.heldChangedAt.IsZero() {
		r.audit.HeldSeconds += float64(r.audit.Held) * now.Sub(r.heldChangedAt).Seconds()
	}
	r.heldChangedAt = now
}

func (r *auditRecorder) startedWhileLeaving(after time.Duration) {
	r.audit.LastStartAfterLeaveMs = max(r.audit.LastStartAfterLeaveMs, after.Milliseconds(), 1)
}

func (r *auditRecorder) addCall(run CallRun) {
	if len(r.audit.CallRuns) >= r.maxRecords {
		r.audit.Unrecorded++
		return
	}
	r.audit.CallRuns = append(r.audit.CallRuns, run)
	r.runsByMarker[run.Marker]++
	if r.runsByMarker[run.Marker] == 2 {
		r.audit.Repeated = append(r.audit.Repeated, run.Marker)
	}
}

// Audit returns a copy of the audit up to now.
func (s *Standin) Audit() Audit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.auditLocked()
}

// auditLocked is Audit with mu held.
func (s *Standin) auditLocked() Audit {
	s.recorder.addHeldTime(time.Now())
	a := s.recorder.audit
	a.Endpoint, a.Incarnation, a.Zone = s.options.ID, s.options.Incarnation, s.options.Zone
	a.Role = s.role
	a.Leaving = s.leaving
	a.Attempts = make([]AttemptRecord, len(s.recorder.records))
	for n, record := range s.recorder.records {
		a.Attempts[n] = *record
	}
	a.CallRuns = append([]CallRun(nil), a.CallRuns...)
	a.Repeated = append([]string(nil), a.Repeated...)
	return a
}

func (s *Standin) serveAudit(w http.ResponseWriter, _ *http.Request) { reply(w, s.Audit()) }
