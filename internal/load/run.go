package load

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// Options are what a run needs besides its experiment.
type Options struct {
	// Expect gives the right text for a prompt; nil: texts aren't checked.
	Expect func(prompt string, maxTokens int) string
	// Transport carries requests; nil: TCP with enough idle connections.
	Transport http.RoundTripper
	Variant   string
	Pair      int
}

// runner is one run. Lock order: late alone; each tally's lock alone.
type runner struct {
	experiment *Experiment
	caller     *caller
	slots      chan struct{} // one for each request in flight
	wait       sync.WaitGroup
	mu         sync.Mutex // guards late
	late       *hdrhistogram.Histogram
}

// Run sends the experiment's load and gives what it measured. It ends by
// itself after the experiment's duration and drain time, or when ctx ends.
func Run(ctx context.Context, e Experiment, o Options) (Result, error) {
	if len(e.Entries) == 0 {
		return Result{}, trace.BadParameter("no entries are given")
	}
	if err := e.checkDirect(); err != nil {
		return Result{}, trace.Wrap(err)
	}
	client := &http.Client{Transport: o.Transport}
	if o.Transport == nil {
		transport := newTransport(e.MaxInFlight)
		defer transport.CloseIdleConnections()
		client.Transport = transport
	}
	before := readAudits(ctx, client, e.Audits)
	r := newRunner(&e, client, o)
	if len(e.Engines) > 0 {
		engines, err := newDirectEngines(ctx, client, e.Engines)
		if err != nil {
			return Result{}, trace.Wrap(err)
		}
		r.caller.engine = engines
	}
	cpu := cpuSeconds()
	started := time.Now()
	run := strconv.FormatInt(started.UnixNano(), 36)
	tallies, unfinished, err := r.streams(ctx, started, run)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	result := Result{Experiment: e.Name, Variant: o.Variant, Pair: o.Pair, Started: started}
	result.Seconds = (e.Duration - e.Warmup).Seconds()
	for _, t := range tallies {
		result.Streams = append(result.Streams, t.finish(result.Seconds))
	}
	result.Generator = r.generator(unfinished, cpuSeconds()-cpu)
	shares(&result, &e)
	if len(e.Audits) > 0 {
		after := append(readAudits(ctx, client, e.Audits), crashedAudits(e.AuditFolder)...)
		result.Audit = auditResult(run, before, after, tallies)
	}
	return result, nil
}

func newTransport(inFlight int) *http.Transport {
	return &http.Transport{
		MaxIdleConns:        inFlight,
		MaxIdleConnsPerHost: inFlight,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
}

func newRunner(e *Experiment, client *http.Client, o Options) *runner {
	c := &caller{sender: &sender{client: client, expect: o.Expect}, direct: e.Direct}
	for n := range e.Callers {
		c.books = append(c.books, newAddressBook(client, e, n))
	}
	return &runner{experiment: e, caller: c, slots: make(chan struct{}, e.MaxInFlight), late: newHistogram()}
}

// streams sends all streams and waits for the answers.
func (r *runner) streams(ctx context.Context, started time.Time, run string) ([]*tally, int, error) {
	requests, cancel := context.WithCancel(ctx)
	defer cancel()
	arrivals, _ := errgroup.WithContext(ctx)
	tallies := make([]*tally, len(r.experiment.Streams))
	for n := range r.experiment.Streams {
		tallies[n] = newTally(&r.experiment.Streams[n])
		src := newSource(r.experiment, n, run)
		arrivals.Go(func() error { return r.arrive(ctx, requests, started, src, tallies[n]) })
	}
	err := arrivals.Wait()
	unfinished := r.drain(cancel)
	return tallies, unfinished, err
}

// arrive sends each job of a stream when it is due, whatever became of those
// before it.
func (r *runner) arrive(ctx, requests context.Context, started time.Time, src *source, t *tally) error {
	for {
		j, at := src.next()
		if at >= r.experiment.Duration || (r.experiment.MaxRequests > 0 && j.number > r.experiment.MaxRequests) {
			return nil
		}
		j.intended = started.Add(at)
		j.counted = at >= r.experiment.Warmup
		j.tally = t
		if wait := time.Until(j.intended); wait > 0 && !sleep.For(ctx, wait) {
			return trace.Wrap(ctx.Err())
		}
		r.start(requests, &j)
	}
}

// start runs a job beside the others. When too many are in flight it is
// counted as overrun at once: waiting here would delay the arrivals after it
// and hide the delay from the result.
func (r *runner) start(ctx context.Context, j *job) {
	r.noteLate(time.Since(j.intended))
	copies := 1
	if j.doubled {
		copies = 2
	}
	for n := range copies {
		select {
		case r.slots <- struct{}{}:
		default:
			if n == 0 {
				j.tally.add(j, answer{verdict: VerdictOverrun})
			}
			return
		}
		r.wait.Go(func() { r.finish(ctx, j, n == 0) })
	}
}

func (r *runner) finish(ctx context.Context, j *job, counted bool) {
	defer func() { <-r.slots }()
	a := r.caller.run(ctx, j)
	if counted {
		j.tally.add(j, a)
	}
}

// drain waits for the answers and gives how many were given up.
func (r *runner) drain(cancel context.CancelFunc) int {
	done := make(chan struct{})
	go func() {
		r.wait.Wait()
		close(done)
	}()
	timer := time.NewTimer(r.experiment.Drain)
	defer timer.Stop()
	select {
	case <-done:
		return 0
	case <-timer.C:
	}
	unfinished := len(r.slots)
	cancel()
	<-done
	return unfinished
}

func (r *runner) noteLate(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.late, late)
}

func (r *runner) generator(unfinished int, cpu float64) Generator {
	late := latencyOf(r.late)
	return Generator{LateP99Ms: late.P99, LateMaxMs: late.Max, Unfinished: unfinished, CPUSeconds: cpu}
}

// shares works out how much of the capacity was asked for and used well. The
// scarcer of prefill and decode counts. Requests whose callers went away by plan
// aren't counted as offered.
func shares(r *Result, e *Experiment) {
	if !e.Capacity.known() || r.Seconds <= 0 {
		return
	}
	var offeredPrefill, offeredDecode, goodPrefill, goodDecode float64
	for n, s := range e.Streams {
		if s.Model == "" {
			continue
		}
		measured := r.Streams[n]
		wanted := float64(measured.Offered-measured.Verdicts[VerdictCancelled]) / r.Seconds
		offeredPrefill += wanted / e.Capacity.prefillPerSec(s)
		offeredDecode += wanted / e.Capacity.decodePerSec(s)
		goodPrefill += measured.GoodPerSec / e.Capacity.prefillPerSec(s)
		goodDecode += measured.GoodPerSec / e.Capacity.decodePerSec(s)
	}
	r.OfferedShare, r.GoodShare = offeredDecode, goodDecode
	if offeredPrefill > offeredDecode {
		r.OfferedShare, r.GoodShare = offeredPrefill, goodPrefill
	}
	if r.OfferedShare > 0 {
		r.GoodOfPossible = r.GoodShare / min(r.OfferedShare, 1)
	}
}
