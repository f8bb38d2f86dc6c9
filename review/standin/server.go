package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// serverOptions configure a server.
type serverOptions struct {
	ID, Service, IP, Stage string
	// PublicIP is where senders reach it, if that is not IP.
	PublicIP   string
	Controls   []string
	Record     string // file for what it runs
	BeganMs    int64  // Unix ms from which its times count
	Slots      int
	EventGapMs int
	// SpoilEach makes it send zero bytes in place of one answer in so many, for spoilFor at a time; 0
	// for none.
	SpoilEach int
	// Unframed makes its streams end with their channel, with neither a length nor chunks.
	Unframed bool
	// LingerMs is how long it serves on after its leave was confirmed.
	LingerMs int
}

// switchTime is how long a change of the stage takes (switch_s of the engine).
const switchTime = 6 * time.Second

// plainWork is how long a request of the plain service takes (work ms of the sheet).
const plainWork = 60 * time.Millisecond

// prefillTokensPerMs is the speed at which a prompt is read.
const prefillTokensPerMs = 33.3

// server is a model server.
type server struct {
	serverOptions
	record *record

	mu      sync.Mutex // guards the fields below
	runs    map[string]*run
	stage   string
	busy    bool
	orders  int64
	active  int
	answers int
	seq     int
	leaving bool
}

// run is a request that the server generates.
type run struct {
	made int // events
	stop context.CancelFunc
}

func runServer(args []string) {
	s := &server{runs: map[string]*run{}}
	if err := json.Unmarshal([]byte(args[0]), &s.serverOptions); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	s.stage = s.Stage
	var err error
	if s.record, err = newRecord(s.Record, time.UnixMilli(s.BeganMs)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	listener, err := net.Listen("tcp4", at(s.IP, serverPort))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	go func() { _ = http.Serve(listener, s) }() // ends with the process
	for {
		s.report("ready")
		select {
		case <-terminated:
			s.leave()
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// report sends a status report until a daemon confirms it; it tries each once.
func (s *server) report(state string) bool {
	s.mu.Lock()
	s.seq++
	body := map[string]any{
		"service": s.Service, "address": at(cmp.Or(s.PublicIP, s.IP), serverPort), "zone": "howrah", "version": "v1", "slots": s.Slots, "state": state,
		"cold_remaining_ms": 0, "seq": s.seq,
	}
	if s.stage != "" {
		body["stage"], body["models"] = s.stage, []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	s.mu.Unlock()
	data, _ := json.Marshal(body) // plain values
	for _, n := range rand.Perm(len(s.Controls)) {
		if status, _ := call(http.MethodPut, "http://"+s.Controls[n]+"/instances/"+s.ID, data); status == http.StatusOK {
			return true
		}
	}
	return false
}

// leave is a planned shutdown: it reports that it drains, serves on, says that it is gone, and
// exits once what it runs has ended.
func (s *server) leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for !s.report("draining") {
		time.Sleep(100 * time.Millisecond)
	}
	s.record.add("%s draining confirmed", s.ID)
	time.Sleep(time.Duration(s.LingerMs) * time.Millisecond)
	for {
		s.mu.Lock()
		active := s.active
		s.mu.Unlock()
		if active == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, c := range s.Controls {
		if status, _ := call(http.MethodDelete, "http://"+c+"/instances/"+s.ID, nil); status == http.StatusOK {
			break
		}
	}
	s.record.add("%s exits", s.ID)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	s.mu.Lock()
	s.setLoad(w.Header())
	s.mu.Unlock()
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.ID {
		s.notRun(w, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		s.health(w)
	case r.URL.Path == "/report":
		s.writeReport(w)
	case r.URL.Path == "/order" && r.Method == http.MethodPost:
		s.order(w, r)
	case r.URL.Path == "/kv-move":
		s.move(w, r)
	case r.URL.Path == "/hold-take":
		writeBody(w, map[string]any{"hold": fmt.Sprintf("h%x", rand.Uint64())})
	case strings.HasPrefix(r.URL.Path, "/hold-drop/"), strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	case id == "":
		s.notRun(w, http.StatusBadRequest)
	case s.stage == "":
		s.serve(w, r, id)
	case r.Header.Get("Serving-Stage") == "prefill":
		s.prefill(w, r, id)
	default:
		s.generate(w, r, id)
	}
}

// setLoad sets the load that answers tell. It is called with s.mu held.
func (s *server) setLoad(h http.Header) {
	h.Set("Instance-Load", fmt.Sprintf("%d,0,%d", s.active, s.Slots))
}

func (s *server) notRun(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func writeBody(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the sender may have left
}

func (s *server) health(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Instance-Id", s.ID)
	if s.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *server) writeReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := [][]any{}
	for id, r := range s.runs {
		runs = append(runs, []any{id, 3000 + r.made, r.made, 5})
	}
	writeBody(w, map[string]any{
		"state": "ready", "next": 0, "runs": runs, "stage": s.stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": s.busy, "seq": s.orders,
		"queued": 0, "active": s.active, "kv_used": 0, "kv_total": 39418, "kv_handles": 0,
	})
}

// move takes a call to move a run. It has nowhere to copy memory to, but stops the run if asked to.
func (s *server) move(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID   string
		Last bool
	}
	err := json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.runs[call.ID]
	if err != nil || found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if call.Last {
		found.stop()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(map[string]any{"kv_handle": call.ID, "made": found.made}) // the sender may have left
}

// order takes an order to change the stage; the server is back after switchTime.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op, Stage, Holder string
		Token             *uint64 `json:"fencing_token"`
		Expect            *int64
	}
	err := json.NewDecoder(r.Body).Decode(&order)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.add("%s gets order %+v", s.ID, order)
	switch {
	case err != nil || order.Op != "stage" || order.Holder == "" || order.Token == nil:
		w.WriteHeader(http.StatusBadRequest)
	case s.busy || order.Expect != nil && *order.Expect != s.orders:
		w.WriteHeader(http.StatusConflict)
	case order.Stage == s.stage:
		w.WriteHeader(http.StatusOK)
	default:
		s.orders++
		s.busy = true
		w.WriteHeader(http.StatusAccepted)
		go s.switchStage(order.Stage)
	}
}

func (s *server) switchStage(stage string) {
	time.Sleep(switchTime)
	s.mu.Lock()
	s.stage, s.busy = stage, false
	s.mu.Unlock()
	s.report("ready")
}

// mayRun reports whether the server takes a request for a stage, and counts it.
func (s *server) mayRun(w http.ResponseWriter, stage string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stage != "" && s.stage != stage:
		s.notRun(w, http.StatusMisdirectedRequest)
	case s.busy || s.active >= s.Slots:
		s.notRun(w, http.StatusServiceUnavailable)
	default:
		s.active++
		return true
	}
	return false
}

func (s *server) ended() {
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
}

// serve runs a request of a plain service.
func (s *server) serve(w http.ResponseWriter, r *http.Request, id string) {
	if !s.mayRun(w, "") {
		return
	}
	defer s.ended()
	s.record.add("%s runs %s %s", s.ID, id, r.URL.Path)
	time.Sleep(plainWork)
	w.Header().Set("Response-Seal", "seal."+s.ID+"."+id)
	_, _ = w.Write([]byte("card of " + id)) // the sender may have left
}

func (s *server) prefill(w http.ResponseWriter, r *http.Request, id string) {
	if !s.mayRun(w, "prefill") {
		return
	}
	defer s.ended()
	prompt, _ := tokens(r)
	time.Sleep(time.Duration(float64(prompt) / prefillTokensPerMs * float64(time.Millisecond)))
	writeBody(w, map[string]any{"kv_handle": fmt.Sprintf("%s-%x", id, rand.Uint32()), "tokens": prompt, "version": 1})
}

// tokens returns the two numbers of Token-Count.
func tokens(r *http.Request) (prompt, output int) {
	a, b, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	prompt, _ = strconv.Atoi(a)
	output, _ = strconv.Atoi(b)
	return prompt, output
}

// event returns an event of a stream of last events.
func event(id string, n, last int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", n, id, n, last)
}

// generate streams the answer to a request, an event for each token.
func (s *server) generate(w http.ResponseWriter, r *http.Request, id string) {
	if !s.mayRun(w, "decode") {
		return
	}
	defer s.ended()
	_, output := tokens(r)
	first := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	deadline := 14 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	s.mu.Lock()
	s.runs[id] = &run{made: first - 1, stop: cancel}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.runs, id)
		s.mu.Unlock()
	}()
	if s.isSpoiled() {
		s.record.add("%s spoils the answer to %s", s.ID, id)
		s.sendZeros(ctx, w)
		return
	}
	s.record.add("%s runs %s from event %d", s.ID, id, first)
	send, end := s.openStream(w, id)
	defer end()
	for n := first; n <= output; n++ {
		select {
		case <-ctx.Done():
			s.record.add("%s stops %s after event %d", s.ID, id, n-1)
			return
		case <-time.After(time.Duration(s.EventGapMs) * time.Millisecond):
		}
		s.mu.Lock()
		s.runs[id].made = n
		s.mu.Unlock()
		s.record.add("%s makes %s event %d", s.ID, id, n)
		if !send(event(id, n, output)) {
			s.record.add("%s stops %s after event %d", s.ID, id, n-1)
			return
		}
	}
	s.record.add("%s has sent all %d events of %s", s.ID, output, id)
}

// Times in which a server spoils answers: for spoilFor, then not for spoilPause.
const (
	spoilFor   = 6 * time.Second
	spoilPause = 2 * time.Second
)

// isSpoiled counts an answer and reports whether it is spoiled.
func (s *server) isSpoiled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	now := time.Since(time.UnixMilli(s.BeganMs)) % (spoilFor + spoilPause)
	if s.SpoilEach == 0 || s.answers < s.SpoilEach || now > spoilFor {
		return false
	}
	s.answers = 0
	return true
}

// The pace of zero bytes: 80 MB/s, less than the link of a machine (1,000 Mbit/s).
const (
	zerosPart  = 800 << 10
	zerosPause = 10 * time.Millisecond
)

// sendZeros sends bytes that are no response until the channel ends.
func (s *server) sendZeros(ctx context.Context, w http.ResponseWriter) {
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = raw.Close() }() // it may have ended
	zeros := make([]byte, zerosPart)
	for err == nil && ctx.Err() == nil {
		time.Sleep(zerosPause)
		_, err = raw.Write(zeros)
	}
}

// openStream sends the head of an answer and returns how to send its events.
func (s *server) openStream(w http.ResponseWriter, id string) (send func(string) bool, end func()) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", "seal."+s.ID+"."+id)
	if !s.Unframed {
		controller := http.NewResponseController(w)
		return func(part string) bool {
			_, err := w.Write([]byte(part))
			return err == nil && controller.Flush() == nil
		}, func() {}
	}
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return func(string) bool { return false }, func() {}
	}
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name := range w.Header() {
		head += name + ": " + w.Header().Get(name) + "\r\n"
	}
	_, err = raw.Write([]byte(head + "\r\n"))
	return func(part string) bool {
		if err == nil {
			_, err = raw.Write([]byte(part))
		}
		return err == nil
	}, func() { _ = raw.Close() } // the end of the answer
}
