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

// Options are the settings of a run besides its experiment.
type Options struct {
	// Expect returns the expected answer to a prompt; if nil, texts aren't checked.
	Expect func(prompt string, maxTokens int) string
	// Transport sends requests; nil means TCP with enough idle connections.
	Transport http.RoundTripper
	Variant   string
	Pair      int
}

// runner is the state of one run. Locking: mu and each tally's lock are held alone.
type runner struct {
	experiment *Experiment
	caller     *caller
	slots      chan struct{} // one for each request in flight
	running    sync.WaitGroup
	mu         sync.Mutex // guards sendDelay
	sendDelay  *hdrhistogram.Histogram
}

// Run sends the experiment's load and returns the measurements. It ends after the
// experiment's duration and drain time, or when ctx ends.
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
		r.caller.engines = engines
	}
	cpu := cpuSeconds()
	started := time.Now()
	run := strconv.FormatInt(started.UnixNano(), 36)
	tallies, unfinished, err := r.runStreams(ctx, started, run)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	result := Result{Experiment: e.Name, Variant: o.Variant, Pair: o.Pair, Started: started}
	result.Seconds = (e.Duration - e.Warmup).Seconds()
	for _, t := range tallies {
		result.Streams = append(result.Streams, t.finish(result.Seconds))
	}
	result.Generator = r.generatorResult(unfinished, cpuSeconds()-cpu)
	computeShares(&result, &e)
	if len(e.Audits) > 0 {
		after := append(readAudits(ctx, client, e.Audits), readCrashedAudits(e.AuditFolder)...)
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
		c.addressCaches = append(c.addressCaches, newAddressCache(client, e, n))
	}
	return &runner{experiment: e, caller: c, slots: make(chan struct{}, e.MaxInFlight), sendDelay: newHistogram()}
}

// runStreams sends the requests of all streams and waits for the answers. It also
// returns the number of requests that were unfinished at the end of the drain time.
func (r *runner) runStreams(ctx context.Context, started time.Time, run string) ([]*tally, int, error) {
	requests, cancel := context.WithCancel(ctx)
	defer cancel()
	arrivals, _ := errgroup.WithContext(ctx)
	tallies := make([]*tally, len(r.experiment.Streams))
	for n := range r.experiment.Streams {
		tallies[n] = newTally(&r.experiment.Streams[n])
		src := newJobSource(r.experiment, n, run)
		arrivals.Go(func() error { return r.sendStream(ctx, requests, started, src, tallies[n]) })
	}
	err := arrivals.Wait()
	unfinished := r.drain(cancel)
	return tallies, unfinished, err
}

// sendStream sends each job of a stream at its intended time, regardless of the
// results of earlier jobs.
func (r *runner) sendStream(ctx, requests context.Context, started time.Time, src *jobSource, t *tally) error {
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
		r.startJob(requests, &j)
	}
}

// startJob starts a job concurrently. If too many requests are in flight, the job
// is counted as overrun at once: waiting here would delay the arrivals after it
// and hide that delay from the result.
func (r *runner) startJob(ctx context.Context, j *job) {
	r.recordSendDelay(time.Since(j.intended))
	copies := 1
	if j.doubled {
		copies = 2
	}
	for n := range copies {
		select {
		case r.slots <- struct{}{}:
		default:
			if n == 0 {
				j.tally.add(j, requestResult{verdict: VerdictOverrun})
			}
			return
		}
		r.running.Go(func() { r.runJob(ctx, j, n == 0) })
	}
}

func (r *runner) runJob(ctx context.Context, j *job, counted bool) {
	defer func() { <-r.slots }()
	a := r.caller.run(ctx, j)
	if counted {
		j.tally.add(j, a)
	}
}

// drain waits for the answers, cancels the requests that remain after the drain time,
// and returns their number.
func (r *runner) drain(cancel context.CancelFunc) int {
	done := make(chan struct{})
	go func() {
		r.running.Wait()
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

func (r *runner) recordSendDelay(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.sendDelay, late)
}

func (r *runner) generatorResult(unfinished int, cpu float64) Generator {
	late := latencyOf(r.sendDelay)
	return Generator{LateP99Ms: late.P99, LateMaxMs: late.Max, Unfinished: unfinished, CPUSeconds: cpu}
}

// computeShares computes the offered and the good work as shares of the capacity, of
// prefill or decode, whichever has the higher load. Requests that were cancelled as
// planned aren't counted as offered.
func computeShares(r *Result, e *Experiment) {
	if !e.Capacity.isSet() || r.Seconds <= 0 {
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
