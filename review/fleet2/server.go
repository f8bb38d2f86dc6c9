package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the users' small deployments.
const (
	prefillTokensPerMs = 33.333
	kvCapacity         = 39418
	kvHoldTime         = 500 * time.Millisecond
	lingerTime         = 1500 * time.Millisecond
	stagePrefill       = "prefill"
	stageDecode        = "decode"
)

// server is a stand-in for one lifetime of a server of the users' pages.
type server struct {
	fleet   *fleet
	id      string
	service string
	stage   string // empty for a plain server
	ip      string
	// plain serves a request of a plain server.
	plain func(s *server, w http.ResponseWriter, r *http.Request)
	// quiet keeps each arrival out of the record.
	quiet bool
	// onRun, if set, is called with each caller's request that arrives for this server.
	onRun func(s *server, attempt string, at time.Time)
	// onOrder, if set, is called with each order that is accepted.
	onOrder func()
	// stream, if set, writes the answer of a model server.
	stream func(s *server, w http.ResponseWriter, r *http.Request, attempt string, output int)
	// eventGap is the time between two events of a stream.
	eventGap time.Duration
	// silentFor is how long after its start it takes channels and neither answers nor reports.
	silentFor time.Duration

	http    *http.Server
	started time.Time

	mu       sync.Mutex // guards the fields below
	slowness float64    // factor of the work's time
	seq      int
	state    string
	ackedAt  time.Time // when its draining state was acknowledged; zero before
	held     map[string]int
	used     int
	nextName int
	orders   int  // accepted
	busy     bool // an order is in progress
	ended    chan struct{}
	unframed map[net.Conn]bool // channels of answers without a length
	prefills sync.Mutex        // prompts are read one after the other
}

func (f *fleet) newServer(id, service, stage string, host int) *server {
	return &server{
		fleet: f, id: id, service: service, stage: stage, ip: f.ip(host), slowness: 1, state: "ready",
		held: map[string]int{}, unframed: map[net.Conn]bool{}, ended: make(chan struct{}), eventGap: 20 * time.Millisecond,
	}
}

func (s *server) address() string { return s.ip + ":8080" }

// start listens and registers.
func (s *server) start() error {
	listener, err := net.Listen("tcp4", s.address())
	if err != nil {
		return err
	}
	s.http, s.started = &http.Server{Handler: s}, time.Now()
	go func() { _ = s.http.Serve(listener) }() // returns at the end
	go s.sendBeats()
	return nil
}

// exit ends the process: its connections close, and it reports no more.
func (s *server) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
		return
	default:
	}
	close(s.ended)
	_ = s.http.Close()
	for conn := range s.unframed {
		_ = conn.Close()
	}
}

func (s *server) sendBeats() {
	s.awaitVoice()
	for {
		s.beat()
		select {
		case <-time.After(heartbeatTime):
		case <-s.ended:
			return
		}
	}
}

// awaitVoice waits until the server is no longer silent after its start.
func (s *server) awaitVoice() { time.Sleep(time.Until(s.started.Add(s.silentFor))) }

// beat sends one status report, to another daemon if one doesn't answer, and reports whether it was acknowledged.
func (s *server) beat() bool {
	s.mu.Lock()
	s.seq++
	report := map[string]any{
		"service": s.service, "address": s.address(), "zone": "howrah", "version": "v1", "slots": 64, "state": s.state,
		"cold_remaining_ms": 0, "seq": s.seq,
	}
	if s.stage != "" {
		report["stage"] = s.stage
		report["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	s.mu.Unlock()
	body, err := json.Marshal(report)
	if err != nil {
		panic(err)
	}
	return s.call(http.MethodPut, body)
}

func (s *server) call(method string, body []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, c := range s.fleet.controls {
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d/instances/%s", c.ip, controlPort, s.id), bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// leave does what a server does before a planned shutdown.
func (s *server) leave() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for !s.beat() {
		time.Sleep(100 * time.Millisecond)
	}
	now := time.Now()
	s.mu.Lock()
	s.ackedAt = now
	s.mu.Unlock()
	s.fleet.record.logf("server %s: draining is acknowledged", s.id)
	time.Sleep(drainTime + lingerTime)
	s.call(http.MethodDelete, nil)
	s.fleet.record.logf("server %s exits", s.id)
	s.exit()
}

// drainedFor returns how long ago its draining state was acknowledged, 0 if it wasn't.
func (s *server) drainedFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ackedAt.IsZero() {
		return 0
	}
	return now.Sub(s.ackedAt)
}

func (s *server) setSlowness(x float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowness = x
}

func (s *server) workTime(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.slowness * float64(d))
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.awaitVoice()
	if want := r.Header.Get("Target-Instance"); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.serveCall(w, r) {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	stage, busy := s.stage, s.busy
	s.mu.Unlock()
	switch {
	case stage != "" && (r.Header.Get("Serving-Stage") == stagePrefill) != (stage == stagePrefill):
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case busy:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case stage == stagePrefill:
		s.servePrefill(w, r, attempt)
		return
	}
	if !s.quiet {
		s.fleet.record.logf("server %s: %s arrives, deadline %s", s.id, attempt, r.Header.Get("Deadline-Ms"))
	}
	if s.onRun != nil {
		s.onRun(s, attempt, arrived)
	}
	if stage == "" {
		s.plain(s, w, r)
		return
	}
	s.serveStream(w, r, attempt)
}

// serveCall serves the system's own calls to a model server.
func (s *server) serveCall(w http.ResponseWriter, r *http.Request) bool {
	switch {
	case r.URL.Path == "/report":
		s.serveReport(w)
	case r.URL.Path == "/hold-take":
		s.serveHold(w, r)
	case strings.HasPrefix(r.URL.Path, "/hold-drop/"):
		s.drop(strings.TrimPrefix(r.URL.Path, "/hold-drop/"))
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
	case r.URL.Path == "/kv-move":
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Path == "/order":
		s.serveOrder(w, r)
	default:
		return false
	}
	return true
}

func (s *server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":%t,"seq":%d,"queued":0,"active":0,"kv_used":%d,"kv_total":%d,"kv_handles":0}`,
		s.stage, s.busy, s.orders, s.used, kvCapacity)
}

// switchTime is how long a server takes to change its stage.
const switchTime = 6 * time.Second

// serveOrder accepts an order to change the stage; running work goes on.
func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Stage  string `json:"stage"`
		Expect int    `json:"expect"`
	}
	body, _ := io.ReadAll(r.Body) // an order that can't be read is refused
	s.fleet.record.logf("server %s: order %s", s.id, body)
	err := json.Unmarshal(body, &order)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || s.busy || order.Expect != s.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.orders++
	s.busy = true
	time.AfterFunc(switchTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy, s.stage = false, order.Stage
	})
	if s.onOrder != nil {
		go s.onOrder()
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *server) serveHold(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Tokens int   `json:"tokens"`
		TTLMs  int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&asked) // zero if it can't be read
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used+asked.Tokens > kvCapacity {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.nextName++
	name := fmt.Sprintf("h%d-%s", s.nextName, s.id)
	s.held[name] = asked.Tokens
	s.used += asked.Tokens
	time.AfterFunc(time.Duration(asked.TTLMs)*time.Millisecond, func() { s.drop(name) })
	_, _ = fmt.Fprintf(w, `{"hold":%q}`, name)
}

func (s *server) drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= s.held[name]
	delete(s.held, name)
}

func tokensOf(r *http.Request) (prompt, output int) {
	first, second, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

// servePrefill reads a prompt and keeps it under a handle.
func (s *server) servePrefill(w http.ResponseWriter, r *http.Request, attempt string) {
	tokens, _ := tokensOf(r)
	began := time.Now()
	s.prefills.Lock()
	defer s.prefills.Unlock()
	if !s.work(r, time.Duration(float64(tokens)/prefillTokensPerMs*float64(time.Millisecond))) {
		return
	}
	s.fleet.record.logf("server %s: the prompt of %s is read, %d ms", s.id, attempt, time.Since(began).Milliseconds())
	_, _ = fmt.Fprintf(w, `{"kv_handle":"kv-%s","tokens":%d,"version":1}`, attempt, tokens)
}

// work waits for the time of some work and reports whether the caller is still there.
func (s *server) work(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(s.workTime(d)):
		return true
	case <-r.Context().Done():
		return false
	}
}

// serveStream writes the events of an answer.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request, attempt string) {
	tokens, output := tokensOf(r)
	s.mu.Lock()
	hold := r.Header.Get("Kv-Hold")
	if _, ok := s.held[hold]; ok {
		s.used -= s.held[hold]
		delete(s.held, hold)
	}
	if s.used+tokens+output > kvCapacity {
		s.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.used += tokens + output
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.used -= tokens + output
		s.mu.Unlock()
	}()
	if r.Header.Get("Kv-Source") == "" && !s.work(r, time.Duration(2*float64(tokens)/prefillTokensPerMs*float64(time.Millisecond))) {
		return
	}
	s.fleet.record.logf("server %s: %s runs, source %q", s.id, attempt, r.Header.Get("Kv-Source"))
	if s.stream != nil {
		s.stream(s, w, r, attempt, output)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", "seal."+attempt)
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	for n := 1; n <= output; n++ {
		if !s.work(r, s.eventGap) {
			s.fleet.record.logf("server %s: %s is broken off after event %d", s.id, attempt, n-1)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", n, n, attempt)
		if out.Flush() != nil {
			return
		}
	}
	s.fleet.record.logf("server %s: %s is complete", s.id, attempt)
}
