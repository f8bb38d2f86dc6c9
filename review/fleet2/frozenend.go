package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["frozen-end"] = playFrozenEnd }

const slipConfig = `{"version":1,"routes":[{"name":"r-slip","host":"ficu95.example","path_prefix":"/slip/","route_type":"non_idempotent","timeout_ms":9000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":1,"session_affinity":false}],
"services":[{"name":"app","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// The answers of the servers: pieces of a body without a length.
const (
	slipPieces    = 8
	slipPieceSize = 100
	slipPieceGap  = 100 * time.Millisecond
)

// slipBody returns the whole answer to an attempt.
func slipBody(attempt string) []byte {
	var body []byte
	for n := range slipPieces {
		piece := fmt.Sprintf("%d of %s ", n, attempt)
		body = append(body, piece...)
		body = append(body, bytes.Repeat([]byte("."), slipPieceSize-len(piece))...)
	}
	return body
}

// serveUnframed answers with a body that has neither a length nor chunks and ends with its channel.
func serveUnframed(s *server, w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.unframed[conn] = true
	s.mu.Unlock()
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nConnection: close\r\n\r\n", attempt, attempt)
	body := slipBody(attempt)
	for n := range slipPieces {
		_, _ = out.Write(body[n*slipPieceSize : (n+1)*slipPieceSize])
		if out.Flush() != nil {
			s.fleet.record.logf("server %s: the answer to %s is broken off after %d bytes", s.id, attempt, n*slipPieceSize)
			return
		}
		time.Sleep(slipPieceGap)
	}
	s.fleet.record.logf("server %s: the answer to %s is complete", s.id, attempt)
}

// playFrozenEnd plays a server that crashes and is back while an entry is frozen.
func playFrozenEnd(r *record, trouble bool) error {
	f, err := newFleet(r, 3, 7)
	if err != nil {
		return err
	}
	defer f.end()
	if err := f.start(); err != nil {
		return err
	}
	var servers []*server
	defer func() {
		for _, s := range servers {
			s.exit()
		}
	}()
	add := func(id string, host int) *server {
		s := f.newServer(id, "app", "", host)
		s.plain = serveUnframed
		servers = append(servers, s)
		return s
	}
	for n := range 6 {
		if err := add(fmt.Sprintf("i-app%d", n), 101+n).start(); err != nil {
			return err
		}
	}
	if err := f.putConfig(slipConfig, 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var requests sync.WaitGroup
	client := newClient()
	var whole, failed, short atomic.Int64
	sendOne := func(n int) {
		attempt, entry := newAttempt(), f.entries[n%len(f.entries)]
		r.logf("client sends %s to %s", attempt, entry.name)
		a := send(client, entry, "POST", "/slip/2f", attempt, 9*time.Second, nil)
		r.logf("client has %s: status %d, %d bytes, err %v", attempt, a.status, len(a.body), a.err)
		switch {
		case !a.isWhole():
			failed.Add(1)
		case bytes.Equal(a.body, slipBody(attempt)):
			whole.Add(1)
		default:
			short.Add(1)
			r.breakf("%s is answered 200 with a seal and without an error, and has %d of %d bytes", attempt, len(a.body), slipPieces*slipPieceSize)
		}
	}
	stop := make(chan struct{})
	requests.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(16 * time.Millisecond):
				requests.Go(func() { sendOne(n) })
			}
		}
	})
	for round := range 4 {
		time.Sleep(6 * time.Second)
		if !trouble {
			continue
		}
		entry, server := f.entries[0], servers[round]
		entry.signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		r.logf("server %s crashes", server.id)
		server.exit()
		time.Sleep(1700 * time.Millisecond)
		next := add(fmt.Sprintf("i-next%d", round), 101+round)
		next.silentFor = time.Second
		r.logf("server %s starts at the address of %s", next.id, server.id)
		if err := next.start(); err != nil {
			return err
		}
		time.Sleep(400 * time.Millisecond)
		entry.signal(syscall.SIGCONT)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	requests.Wait()
	r.logf("answers: %d whole, %d failed, %d short ones that look whole", whole.Load(), failed.Load(), short.Load())
	return nil
}
