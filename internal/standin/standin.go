package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Standin is one emulated endpoint. mu guards all fields below it and isn't held
// during I/O, except when Faults.Crash ends the process. The lock orders is taken
// before mu.
type Standin struct {
	options Options
	timing  Timing
	client  *http.Client
	egress  *link
	ingress *link
	ready   chan struct{} // closed when address is known

	orders sync.Mutex // serializes orders

	mu                sync.Mutex
	address           string
	role              fleet.EndpointRole
	models            map[engineapi.ModelRef]struct{}
	lastToken         uint64
	doneOrders        map[string]struct{}
	faults            Faults
	unfrozen          chan struct{}
	wake              chan struct{}
	heldRequests      map[fleet.AttemptID]*heldRequest
	kvUsed            int64
	lastArrival       uint64
	cancelled         *cancelledSet
	prefixCache       *prefixCache
	cacheEvents       eventQueue
	loadSamples       loadHistory
	recorder          *auditRecorder
	leaving           bool
	leaveStarted      time.Time
	home              string
	namedAddresses    []string
	heartbeatInterval time.Duration
	sequence          uint64
}

// New returns an endpoint; Run starts it.
func New(o Options) (*Standin, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	s := &Standin{
		options:           o,
		timing:            o.Timing,
		client:            &http.Client{Transport: o.Transport, CheckRedirect: noRedirect},
		egress:            newLink(o.Timing.LinkBytesPerSecond),
		ingress:           newLink(o.Timing.LinkBytesPerSecond),
		ready:             make(chan struct{}),
		address:           o.Advertise,
		role:              o.Role,
		models:            map[engineapi.ModelRef]struct{}{},
		doneOrders:        map[string]struct{}{},
		unfrozen:          make(chan struct{}),
		wake:              make(chan struct{}, 1),
		heldRequests:      map[fleet.AttemptID]*heldRequest{},
		cancelled:         newCancelledSet(maxCancelledAttempts),
		prefixCache:       newPrefixCache(cacheBlocks(o.Timing)),
		recorder:          newAuditRecorder(o.MaxAttemptRecords),
		heartbeatInterval: defaultHeartbeatInterval,
	}
	for _, m := range o.Models {
		s.models[m] = struct{}{}
	}
	s.SetFaults(o.Faults)
	return s, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// wakeBatch wakes runBatch if it waits for work.
func (s *Standin) wakeBatch() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// admit reserves a slot and memory for a request, or returns why it can't. mu is held.
func (s *Standin) admit(w engineapi.Work, stage engineapi.Stage, kv int64, marker string) (*heldRequest, *refusal) {
	if _, ok := s.heldRequests[w.Attempt]; ok {
		return nil, &refusal{engineapi.CodeBadRequest, "attempt is held already"}
	}
	if len(s.heldRequests) >= s.options.Slots {
		return nil, &refusal{engineapi.CodeFull, "no slot"}
	}
	if s.options.KVBytes > 0 && s.kvUsed+kv > s.options.KVBytes {
		return nil, &refusal{engineapi.CodeFull, "no memory"}
	}
	now := time.Now()
	s.lastArrival++
	ctx, cancel := context.WithCancelCause(context.Background())
	h := &heldRequest{
		attempt: w.Attempt, owner: w.Owner, stage: stage, priority: w.Priority,
		startedAt: now, arrival: s.lastArrival, kvBytes: kv, ctx: ctx, cancel: cancel,
		record: s.recorder.record(s.options.Zone, w, marker, now),
	}
	s.recorder.heldChanged(now, len(s.heldRequests)+1)
	if s.leaving {
		s.recorder.startedWhileLeaving(now.Sub(s.leaveStarted))
	}
	s.heldRequests[w.Attempt] = h
	s.kvUsed += kv
	return h, nil
}

// free releases a request's slot and memory, if it is still held. mu is held.
func (s *Standin) free(h *heldRequest, cause error) {
	if s.heldRequests[h.attempt] != h {
		return
	}
	delete(s.heldRequests, h.attempt)
	s.kvUsed -= h.kvBytes
	now := time.Now()
	s.recorder.heldChanged(now, len(s.heldRequests))
	s.recorder.countPrefillWork(h)
	h.record.EndedMs = now.UnixMilli()
	h.cancel(cause)
	s.wakeBatch()
}

// growKV adds KV bytes to a request. mu is held.
func (s *Standin) growKV(h *heldRequest, bytes int64) {
	h.kvBytes += bytes
	s.kvUsed += bytes
}

// checkWork refuses work that is meant for another process, belongs to a cancelled
// attempt, or doesn't fit the endpoint's role or models. mu is held.
func (s *Standin) checkWork(w engineapi.Work, kind fleet.EndpointRole) *refusal {
	if w.Endpoint != s.options.ID || w.Incarnation != s.options.Incarnation {
		return &refusal{engineapi.CodeStale, "another endpoint or incarnation"}
	}
	if w.Attempt == "" {
		return &refusal{engineapi.CodeBadRequest, "no attempt"}
	}
	if s.cancelled.has(w.Attempt) {
		return &refusal{engineapi.CodeStale, "attempt was cancelled"}
	}
	if !s.role.Takes(kind) {
		return &refusal{engineapi.CodeWrongRole, string(s.role)}
	}
	if _, ok := s.models[w.Model]; !ok {
		return &refusal{engineapi.CodeNoModel, w.Model.String()}
	}
	return nil
}

// refuseIfLeaving refuses new work while the endpoint is leaving, if
// Options.RefuseLeaving is set. mu is held.
func (s *Standin) refuseIfLeaving() *refusal {
	if s.leaving && s.options.RefuseLeaving {
		return &refusal{engineapi.CodeLeaving, "leaving"}
	}
	return nil
}

// crashOnMarker ends the process when text contains the crash marker. If Exit
// returns, as in tests, the request is aborted.
func (s *Standin) crashOnMarker(stage engineapi.Stage, text string) {
	marker := s.options.CrashMarker
	if marker == "" || s.options.CrashStage != stage || !contains(text, marker) {
		return
	}
	s.options.Part.Error("exiting on a request with the crash marker", "stage", stage)
	s.options.Exit(crashCode)
	panic(http.ErrAbortHandler)
}

// freeAll frees all requests when the process ends.
func (s *Standin) freeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.heldRequests {
		s.free(h, errProcessEnded)
	}
}
