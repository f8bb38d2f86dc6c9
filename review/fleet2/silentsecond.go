package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silent-second"] = playSilentSecond }

const plainConfig = `{"version":1,"routes":[{"name":"r-log","host":"ficu95.example","path_prefix":"/log/","route_type":"idempotent","timeout_ms":6000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"session_affinity":false}],
"services":[{"name":"app","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// Answers of the plain servers.
const (
	answerBytes = 1_500_000
	pieceBytes  = 50_000
	pieceGap    = 10 * time.Millisecond
)

// silence is when a server is silent.
type silence struct {
	mu    sync.Mutex
	until map[string]time.Time // by server
}

func (s *silence) begin(id string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[id] = time.Now().Add(d)
}

func (s *silence) await(id string) {
	s.mu.Lock()
	until := s.until[id]
	s.mu.Unlock()
	time.Sleep(time.Until(until))
}

// playSilentSecond plays the planned stop of an entry while sound servers fall silent for a second.
func playSilentSecond(r *record, trouble bool) error {
	f, err := newFleet(r, 3, 2)
	if err != nil {
		return err
	}
	defer f.end()
	if err := f.start(); err != nil {
		return err
	}
	quiet := &silence{until: map[string]time.Time{}}
	answerOf := func(s *server, w http.ResponseWriter, q *http.Request) {
		attempt := q.Header.Get("Attempt-Id")
		w.Header().Set("Response-Seal", "seal."+attempt)
		w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
		w.WriteHeader(http.StatusOK)
		out := http.NewResponseController(w)
		for n := 0; n < answerBytes; n += pieceBytes {
			quiet.await(s.id)
			time.Sleep(pieceGap)
			if _, err := w.Write(make([]byte, pieceBytes)); err != nil {
				r.logf("server %s: the channel of %s ends after %d bytes", s.id, attempt, n)
				return
			}
			if out.Flush() != nil {
				r.logf("server %s: the channel of %s ends after %d bytes", s.id, attempt, n)
				return
			}
		}
		r.logf("server %s: the answer to %s is complete", s.id, attempt)
	}
	var servers []*server
	for n := range 3 {
		s := f.newServer(fmt.Sprintf("i-app%d", n), "app", "", 101+n)
		s.plain = answerOf
		servers = append(servers, s)
		if err := s.start(); err != nil {
			return err
		}
	}
	defer func() {
		for _, s := range servers {
			s.exit()
		}
	}()
	if err := f.putConfig(plainConfig, 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var requests sync.WaitGroup
	var mu sync.Mutex
	var terminated time.Time
	ended, cut, neverServed := 0, 0, 0
	client := newClient()
	target := f.entries[0]
	sendOne := func() {
		for try := range 2 {
			attempt := newAttempt()
			a := send(client, target, "GET", "/log/2f", attempt, 6*time.Second, nil)
			mu.Lock()
			planned := !terminated.IsZero() && a.endAt.After(terminated) && a.endAt.Before(terminated.Add(graceTime+time.Second))
			refused := a.status == 0 || a.status == http.StatusServiceUnavailable
			r.logf("client has %s, try %d: status %d, %d bytes, err %v", attempt, try, a.status, len(a.body), a.err)
			if planned && !refused {
				ended++
				if a.status == http.StatusOK && a.err != nil {
					cut++
					r.breakf("%s is passed on, and its channel ends after %d of %d bytes, %d ms after it was sent", attempt, len(a.body), answerBytes, a.endAt.Sub(a.sentAt).Milliseconds())
				}
			}
			mu.Unlock()
			if a.isWhole() {
				return
			}
		}
		mu.Lock()
		neverServed++
		mu.Unlock()
	}
	sendFor := func(d time.Duration) {
		for began := time.Now(); time.Since(began) < d; time.Sleep(60 * time.Millisecond) {
			requests.Go(sendOne)
		}
	}
	sendFor(4 * time.Second)
	mu.Lock()
	terminated = time.Now()
	mu.Unlock()
	target.signal(syscall.SIGTERM)
	if trouble {
		for n := range 3 {
			time.AfterFunc(time.Duration(n)*900*time.Millisecond+200*time.Millisecond, func() {
				r.logf("server %s falls silent for a second", servers[n].id)
				quiet.begin(servers[n].id, time.Second)
			})
		}
	}
	sendFor(2500 * time.Millisecond)
	requests.Wait()
	r.logf("around the planned stop: %d requests ended, %d of them cut; %d requests never served", ended, cut, neverServed)
	return nil
}
