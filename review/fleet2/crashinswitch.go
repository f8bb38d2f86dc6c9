package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash-in-switch"] = playCrashInSwitch }

// longOutput is the number of events of a stream, which lasts some six seconds.
const longOutput = 300

// writeUnframedStream writes the events of an answer that has neither a length nor chunks.
func writeUnframedStream(s *server, w http.ResponseWriter, r *http.Request, attempt string, output int) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.unframed[conn] = true
	s.mu.Unlock()
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, attempt)
	for n := 1; n <= output; n++ {
		_, _ = fmt.Fprintf(out, "id: %d\ndata: token %d of %s\n\n", n, n, attempt)
		if out.Flush() != nil {
			s.fleet.record.logf("server %s: the stream of %s is broken off after event %d", s.id, attempt, n-1)
			return
		}
		time.Sleep(s.eventGap)
	}
	s.fleet.record.logf("server %s: the stream of %s is complete", s.id, attempt)
}

// playCrashInSwitch plays the crash of a model server that was ordered to change its stage and still
// writes streams.
func playCrashInSwitch(r *record, trouble bool) error {
	f, err := newFleet(r, 3, 2)
	if err != nil {
		return err
	}
	defer f.end()
	if err := f.start(); err != nil {
		return err
	}
	var mu sync.Mutex
	var servers []*server
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, s := range servers {
			s.exit()
		}
	}()
	crashes := 0
	for n := range 8 {
		stage := stageDecode
		if n == 0 {
			stage = stagePrefill
		}
		s := f.newServer(fmt.Sprintf("i-model%d", n), "model", stage, 101+n)
		s.stream = writeUnframedStream
		s.onOrder = func() {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || crashes > 0 {
				return
			}
			crashes++
			time.AfterFunc(time.Second, func() {
				r.logf("server %s crashes", s.id)
				s.exit()
			})
		}
		servers = append(servers, s)
		if err := s.start(); err != nil {
			return err
		}
	}
	if err := f.putConfig(modelConfig, 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return err
	}
	stop, requests := make(chan struct{}), sync.WaitGroup{}
	whole, failed, short := 0, 0, 0
	client := newClient()
	sendOne := func(n int) {
		attempt := newAttempt()
		a := send(client, f.entries[n%2], "POST", "/note/2f", attempt, 14*time.Second, map[string]string{
			"Model": "m", "Token-Count": fmt.Sprintf("500,%d", longOutput), "Length-Hint": fmt.Sprint(longOutput),
			"Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%s:300", attempt[:8]),
		})
		events := strings.Count(string(a.body), "\n\n")
		r.logf("client has %s: status %d, %d events, err %v", attempt, a.status, events, a.err)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case !a.isWhole():
			failed++
		case events == longOutput:
			whole++
		default:
			short++
			r.breakf("the stream of %s ends as complete after event %d of %d", attempt, events, longOutput)
		}
	}
	requests.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
				requests.Go(func() { sendOne(n) })
			}
		}
	})
	time.Sleep(30 * time.Second)
	close(stop)
	requests.Wait()
	orders := 0
	for _, s := range servers {
		s.mu.Lock()
		orders += s.orders
		s.mu.Unlock()
	}
	r.logf("answers: %d whole, %d failed, %d short ones that look whole; %d orders, %d crashes", whole, failed, short, orders, crashes)
	if orders == 0 {
		return fmt.Errorf("no server was ordered to change its stage")
	}
	return nil
}
