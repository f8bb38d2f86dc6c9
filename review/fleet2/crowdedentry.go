package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/testkit/crowd"
)

func init() { cases["crowded-entry"] = playCrowdedEntry }

// entryMemory is that of the site's edge machines.
const entryMemory = 134 << 20

const crowdConfig = `{"version":1,"routes":[{"name":"r-note","host":"ficu95.example","path_prefix":"/note/","route_type":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"app","max_attempts":1,"session_affinity":false,"resumable":false,"itl_target_ms":300},
{"name":"r-log","host":"ficu95.example","path_prefix":"/log/","route_type":"idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"session_affinity":false}],
"services":[{"name":"app","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// noteEvents is the number of events of an ordinary stream, which lasts two seconds.
const noteEvents = 40

func serveNote(s *server, w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Response-Seal", "seal."+attempt)
	if !strings.HasPrefix(r.URL.Path, "/note/") {
		_, _ = fmt.Fprint(w, "a record")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := 1; n <= noteEvents; n++ {
		if !s.work(r, 50*time.Millisecond) {
			s.fleet.record.logf("server %s: the channel of %s ends after event %d", s.id, attempt, n-1)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		if out.Flush() != nil {
			return
		}
	}
}

// playCrowdedEntry plays clients that don't behave at one entry beside ordinary ones. The platform ends a
// process that uses more than the memory of its machine, and starts it again.
func playCrowdedEntry(r *record, trouble bool) error {
	f, err := newFleet(r, 3, 2)
	if err != nil {
		return err
	}
	defer f.end()
	if err := f.start(); err != nil {
		return err
	}
	for n := range 4 {
		s := f.newServer(fmt.Sprintf("i-app%d", n), "app", "", 101+n)
		s.plain, s.quiet = serveNote, true
		if err := s.start(); err != nil {
			return err
		}
		defer s.exit()
	}
	if err := f.putConfig(crowdConfig, 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	k := crowd.Kinds[slices.IndexFunc(crowd.Kinds, func(k crowd.Kind) bool { return k.Name == "stalled-bodies" })]

	var mu sync.Mutex
	var ends []time.Time // of entries, by the platform
	watch := func(e *process) *crowd.Watch {
		return crowd.StartWatch([]crowd.Process{{Name: e.name, PID: e.pid(), IPs: []string{e.ip}, Bytes: entryMemory, Stop: func() {
			r.logf("the platform ends %s, which uses more than %d MB", e.name, entryMemory>>20)
			mu.Lock()
			ends = append(ends, time.Now())
			mu.Unlock()
			e.kill()
		}}})
	}
	stop, requests := make(chan struct{}), sync.WaitGroup{}
	whole, lost, other := 0, 0, 0
	client := newClient()
	entry := f.entries[0]
	requests.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				requests.Go(func() {
					attempt := newAttempt()
					a := send(client, entry, "POST", "/note/2f", attempt, 14*time.Second, nil)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case a.isWhole():
						whole++
					case a.status == http.StatusOK && slices.ContainsFunc(ends, func(t time.Time) bool { return a.endAt.Sub(t).Abs() < time.Second }):
						lost++
						r.logf("client: the stream of %s ends after %d events as its entry is ended: %v", attempt, strings.Count(string(a.body), "\n\n"), a.err)
					default:
						other++
						r.logf("client has %s: status %d, err %v", attempt, a.status, a.err)
					}
				})
			}
		}
	})
	for round := range 3 {
		w := watch(entry)
		time.Sleep(4 * time.Second)
		if trouble {
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			opened := crowd.Play(ctx, k, crowd.Target{Address: fmt.Sprintf("%s:%d", entry.ip, callerPort), Host: host, Path: "/log/2f", Header: "Attempt-Id: crowd\r\nDeadline-Ms: 1500\r\n"})
			cancel()
			r.logf("round %d: clients of the kind %s opened %d channels", round, k.Name, opened)
		} else {
			time.Sleep(6 * time.Second)
		}
		peak, over := w.Stop()
		r.logf("round %d: most used %s; over %v", round, peak[entry.name], over)
		if !entry.isRunning() {
			if err := entry.start(false); err != nil {
				return err
			}
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	requests.Wait()
	r.logf("ordinary streams: %d whole, %d lost with their entry, %d other; %d ends of the entry", whole, lost, other, len(ends))
	if lost > 3 {
		r.breakf("%d streams that were passed on from kept channels to sound servers end without their answer, as their entry used more than its memory", lost)
	}
	return nil
}
