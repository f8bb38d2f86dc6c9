package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// The bound on what an endpoint gets that names a limit.
const (
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitBinds   = 3 * time.Second        // after it was first named
	limitHeard   = 500 * time.Millisecond // after an entry was told
	limitedWork  = 20 * time.Millisecond
	limitedPlay  = 20 * time.Second
	limitedBegin = 2 * time.Second
	// limitedMembers is more than the keepers of one endpoint.
	limitedMembers = 5
)

// limitedService is endpoints in virtual time that name limits, and what reaches them.
type limitedService struct {
	began time.Time

	mu        sync.Mutex
	endpoints map[string]*limitedEndpoint
	reading   time.Duration // that a prompt takes which is read for others
}

// limitedEndpoint is one of them.
type limitedEndpoint struct {
	// limit tells which limit it names at a time; named is false for none.
	limit   func(at time.Duration) (perSecond float64, named bool)
	refuses bool // it turns away what comes while it names a limit
	slots   int  // it turns away what comes while so much runs; 0 for no bound
	running int
	first   time.Duration
	told    map[int]time.Duration // when each entry was first told; empty while none is named
	// rests tells which rest it asks for at a time, turning the request away; nil for none.
	rests    func(at time.Duration) time.Duration
	resting  []restPeriod
	leaves   time.Duration         // from when on it says that it leaves; 0 for never
	toldOf   map[int]time.Duration // when each entry was told so
	late     int                   // arrivals from entries that had been told
	arrivals []limitedArrival
}

// limitedArrival is one send that reached an endpoint.
type limitedArrival struct {
	at       time.Duration
	entry    int
	heardFor time.Duration // that its entry had been told; 0 where it was not
}

// steady names a limit from the beginning of the need on.
func steady(perSecond float64) func(time.Duration) (float64, bool) {
	return func(at time.Duration) (float64, bool) { return perSecond, at >= limitedBegin }
}

// arrive notes a send, and gives what its answer says. leave must follow.
func (s *limitedService) arrive(id string, entry int) (values []string, refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, at := s.endpoints[id], time.Since(s.began)
	e.running++
	full := e.slots > 0 && e.running > e.slots
	perSecond, named := e.limit(at)
	a := limitedArrival{at: at, entry: entry}
	if told, ok := e.told[entry]; ok {
		a.heardFor = at - told
	}
	e.arrivals = append(e.arrivals, a)
	e.countResting(at, entry)
	e.countLeaving(at, entry)
	if !named {
		e.told, e.first = nil, 0
		return nil, full
	}
	if e.told == nil {
		e.told, e.first = map[int]time.Duration{}, at
	}
	if _, ok := e.told[entry]; !ok {
		e.told[entry] = at
	}
	return []string{strconv.FormatFloat(perSecond, 'f', -1, 64)}, e.refuses || full
}

func (s *limitedService) leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints[id].running--
}

// fullest gives the largest share of its bound that an endpoint got in any window, with
// the number that arrived and the number allowed.
func (e *limitedEndpoint) fullest() (share, got, allowed float64) {
	for n, a := range e.arrivals {
		most, whole := e.mostNamed(a.at)
		if !whole {
			continue
		}
		count := 0.0
		for _, b := range e.arrivals[n:] {
			if b.at > a.at+limitWindow {
				break
			}
			if b.heardFor >= limitHeard {
				count++
			}
		}
		bound := limitFactor*most*limitWindow.Seconds() + limitSlack
		if count/bound > share {
			share, got, allowed = count/bound, count, bound
		}
	}
	return share, got, allowed
}

// mostNamed gives the largest limit that was named in a window, and whether one bound all
// the time from before it.
func (e *limitedEndpoint) mostNamed(from time.Duration) (most float64, whole bool) {
	for at := from - limitBinds; at <= from+limitWindow; at += 50 * time.Millisecond {
		perSecond, named := e.limit(at)
		if !named {
			return 0, false
		}
		most = max(most, perSecond)
	}
	return most, true
}

// limitedSender is how one entry reaches the service.
type limitedSender struct {
	service *limitedService
	entry   int
}

func (s limitedSender) Send(ctx context.Context, c *Call) (*Reply, error) {
	values, refuses := s.service.arrive(c.Endpoint.ID, s.entry)
	defer s.service.leave(c.Endpoint.ID)
	work := limitedWork
	if c.Prefill && s.service.reading > 0 {
		work = s.service.reading
	}
	if !refuses && !sleep.For(ctx, work) {
		return nil, &SendError{Sent: true, Cause: context.Cause(ctx)}
	}
	r := ok("{}")
	switch {
	case refuses:
		r = notRun()
	case !c.Prefill && c.Exchange.Prompt != nil:
		r = ok(event("1"))
	}
	r.Limit = endpointlimit.ParseWord(values)
	if rest := s.service.askRest(c.Endpoint.ID, s.entry); rest > 0 {
		r = notRun()
		r.Rest = rest
	}
	r.Leaving = s.service.sayLeaving(c.Endpoint.ID, s.entry)
	return r, nil
}

func (s limitedSender) Prefilled(r *Reply) (Prefilled, error) {
	_, err := io.ReadAll(r.Body)
	return Prefilled{Handle: "h"}, err
}

func (limitedSender) Reserve(context.Context, *dispatch.Endpoint, int, time.Duration) (Reserved, error) {
	return Reserved{Hold: "hold"}, nil
}

func (limitedSender) DropHold(context.Context, *dispatch.Endpoint, string) {}
func (limitedSender) Release(context.Context, *dispatch.Endpoint, string)  {}
func (limitedSender) HasOpen(*dispatch.Endpoint, time.Time) bool           { return false }

// limitedFleet is entries before a limitedService.
type limitedFleet struct {
	service *limitedService
	entries []*Router
	net     *testkit.Network
	members []string // of the control group
	model   bool
	served  int
	refused int
	asked   int
}

// newLimitedFleet makes entries before endpoints e0, e1, ..., which name the limits given,
// nil for none. Of a model service the first half reads prompts for the others.
func newLimitedFleet(entries int, model bool, limits ...func(time.Duration) (float64, bool)) *limitedFleet {
	f := &limitedFleet{net: &testkit.Network{}, model: model}
	f.startMembers()
	time.Sleep(time.Minute)
	f.service = &limitedService{began: time.Now(), endpoints: map[string]*limitedEndpoint{}}
	view := &View{Endpoints: map[string][]*dispatch.Endpoint{}}
	d := &routetable.Document{
		Version: 1, Services: []routetable.Service{{Name: "s"}},
		Routes: []routetable.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: idempotent, Timeout: 5 * time.Second, Target: 300 * time.Millisecond,
			MaxAttempts: 2, Backends: []routetable.Backend{{Service: "s", Weight: 1}},
		}},
	}
	if model {
		d.Services[0].Engine = &routetable.Engine{Slots: 64, KVTokens: 40_000, HoldLife: 2 * time.Second}
		d.Routes[0].Kind = stream
	}
	for n, limit := range limits {
		e := &dispatch.Endpoint{ID: fmt.Sprint("e", n), Service: "s", Slots: 6}
		if model {
			e.Stage = dispatch.StageDecode
			if n < len(limits)/2 {
				e.Stage = dispatch.StagePrefill
			}
		}
		if limit == nil {
			limit = func(time.Duration) (float64, bool) { return 0, false }
		}
		f.service.endpoints[e.ID] = &limitedEndpoint{limit: limit}
		view.Endpoints["s"] = append(view.Endpoints["s"], e)
	}
	view.Table = routetable.Compile(d)
	for n := range entries {
		f.entries = append(f.entries, f.newEntry(n, view))
	}
	return f
}

func (f *limitedFleet) startMembers() {
	for n := range limitedMembers {
		f.members = append(f.members, fmt.Sprint("member", n))
		f.startMember(f.members[n])
	}
}

// startMember starts a control instance that remembers nothing.
func (f *limitedFleet) startMember(address string) {
	keeper := endpointlimit.NewServer(address, func() []string { return f.members }, nil)
	f.net.Serve(address, keeper, pb.DRPCLimitKeeperDescription{})
}

func (f *limitedFleet) newEntry(n int, view *View) *Router {
	random := rand.New(rand.NewPCG(uint64(n), 7))
	var mu sync.Mutex
	budget := retrybudget.New(time.Now().Add(-time.Minute), retrybudget.Limits{Ratio: 0.2, Slack: 8, Window: 10 * time.Second})
	budget.Entries(time.Now(), 1)
	members := func() []string { return f.members }
	return New(Options{
		View: func() *View { return view }, Endpoints: limitedSender{service: f.service, entry: n},
		Limits: endpointlimit.NewClient(f.net.Dialer(fmt.Sprint("entry", n)), members, rand.Shuffle),
		Book:   dispatch.NewBook("", uint64(n), dispatch.Policy{}), Budget: budget, Part: logging.Part{},
		Random: func() float64 { mu.Lock(); defer mu.Unlock(); return random.Float64() },
	})
}

// play has callers send so many requests a second to any entry.
func (f *limitedFleet) play(t *testing.T, perSecond float64) {
	var mu sync.Mutex
	var all sync.WaitGroup
	random := rand.New(rand.NewPCG(11, 13))
	for time.Since(f.service.began) < limitedPlay {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		entry := f.entries[random.IntN(len(f.entries))]
		x := exchange()
		x.ID = fmt.Sprint("x", f.asked)
		if f.model {
			x.Prompt = &Prompt{Tokens: 1000, MaxOutput: 200, LikelyOut: 100}
		}
		f.asked++
		all.Go(func() {
			refusal := entry.Serve(t.Context(), x, &caller{})
			mu.Lock()
			defer mu.Unlock()
			if refusal == nil {
				f.served++
			} else {
				f.refused++
			}
		})
	}
	all.Wait()
}

// removeMembers makes the control group dead.
func (f *limitedFleet) removeMembers() {
	for _, m := range f.members {
		f.net.Remove(m)
	}
}
