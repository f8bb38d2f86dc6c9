package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Standin is one emulated endpoint. mu guards all fields below it and is held
// for no I/O; orders has its own lock, taken before mu.
type Standin struct {
	options Options
	timing  Timing
	client  *http.Client
	egress  *link
	ingress *link
	ready   chan struct{} // closed when address is known

	orders sync.Mutex // one order at a time

	mu        sync.Mutex
	address   string
	role      fleet.EndpointRole
	models    map[engineapi.ModelRef]struct{}
	lastToken uint64
	doneOrder map[string]struct{}
	faults    Faults
	thawed    chan struct{}
	wake      chan struct{}
	holds     map[fleet.AttemptID]*hold
	kvUsed    int64
	arrivals  uint64
	cancelled *cancelledSet
	cache     *prefixCache
	events    eventQueue
	loads     loadHistory
	recorder  *recorder
	leaving   bool
	leftAt    time.Time
	home      string
	addresses []string
	beat      time.Duration
	sequence  uint64
}

// New makes an endpoint; Run starts it.
func New(o Options) (*Standin, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	s := &Standin{
		options:   o,
		timing:    o.Timing,
		client:    &http.Client{Transport: o.Transport, CheckRedirect: noRedirect},
		egress:    newLink(o.Timing.LinkRate),
		ingress:   newLink(o.Timing.LinkRate),
		ready:     make(chan struct{}),
		address:   o.Advertise,
		role:      o.Role,
		models:    map[engineapi.ModelRef]struct{}{},
		doneOrder: map[string]struct{}{},
		thawed:    make(chan struct{}),
		wake:      make(chan struct{}, 1),
		holds:     map[fleet.AttemptID]*hold{},
		cancelled: newCancelledSet(mostCancelled),
		cache:     newPrefixCache(cacheBlocks(o.Timing)),
		recorder:  newRecorder(o.MostFacts),
		beat:      defaultBeat,
	}
	for _, m := range o.Models {
		s.models[m] = struct{}{}
	}
	s.SetFaults(o.Faults)
	return s, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// wakeBatch lets runBatch plan its next step now.
func (s *Standin) wakeBatch() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// enter makes room for a request, or tells why there is none. mu is held.
func (s *Standin) enter(w engineapi.Work, stage engineapi.Stage, kv int64, marker string) (*hold, *refusal) {
	if _, ok := s.holds[w.Attempt]; ok {
		return nil, &refusal{engineapi.CodeBadRequest, "attempt is held already"}
	}
	if len(s.holds) >= s.options.Slots {
		return nil, &refusal{engineapi.CodeFull, "no slot"}
	}
	if s.options.KVBytes > 0 && s.kvUsed+kv > s.options.KVBytes {
		return nil, &refusal{engineapi.CodeFull, "no memory"}
	}
	now := time.Now()
	s.arrivals++
	ctx, cancel := context.WithCancelCause(context.Background())
	h := &hold{
		attempt: w.Attempt, owner: w.Owner, stage: stage, priority: w.Priority,
		since: now, arrival: s.arrivals, kv: kv, ctx: ctx, cancel: cancel,
		fact: s.recorder.fact(s.options.Zone, w, marker, now),
	}
	s.recorder.heldChanged(now, len(s.holds)+1)
	if s.leaving {
		s.recorder.startedLeaving(now.Sub(s.leftAt))
	}
	s.holds[w.Attempt] = h
	s.kvUsed += kv
	return h, nil
}

// free takes a request out of memory. mu is held.
func (s *Standin) free(h *hold, cause error) {
	if s.holds[h.attempt] != h {
		return
	}
	delete(s.holds, h.attempt)
	s.kvUsed -= h.kv
	now := time.Now()
	s.recorder.heldChanged(now, len(s.holds))
	s.recorder.settle(h)
	h.fact.EndedMs = now.UnixMilli()
	h.cancel(cause)
	s.wakeBatch()
}

// grow adds KV bytes to a request. mu is held.
func (s *Standin) grow(h *hold, bytes int64) {
	h.kv += bytes
	s.kvUsed += bytes
}

// check refuses work that isn't for this process now. mu is held.
func (s *Standin) check(w engineapi.Work, kind fleet.EndpointRole) *refusal {
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

// refuseNew refuses new work of an endpoint that leaves. mu is held.
func (s *Standin) refuseNew() *refusal {
	if s.leaving && s.options.RefuseLeaving {
		return &refusal{engineapi.CodeLeaving, "leaving"}
	}
	return nil
}

// crash ends the process when text has the crash marker. Where Exit returns,
// as in tests, the request still goes no further.
func (s *Standin) crash(stage engineapi.Stage, text string) {
	marker := s.options.CrashMarker
	if marker == "" || s.options.CrashAt != stage || !contains(text, marker) {
		return
	}
	s.options.Part.Error("a request ends this process", "stage", stage)
	s.options.Exit(crashCode)
	panic(http.ErrAbortHandler)
}

// freeAll ends what waits for this process, which is gone.
func (s *Standin) freeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holds {
		s.free(h, errGone)
	}
}
