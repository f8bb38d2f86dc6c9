package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-prefill"] = playLatePrefill }

// promptTokens is the size of the prompts: nine tenths of a server's memory.
const promptTokens = 36000

// meanPause is the mean time between two requests, which come at random.
const meanPause = 900 * time.Millisecond

const modelConfig = `{"version":1,"routes":[{"name":"r-note","host":"ficu95.example","path_prefix":"/note/","route_type":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"model","max_attempts":1,"session_affinity":true,"resumable":false,"itl_target_ms":300}],
"services":[{"name":"model","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":39418,"kv_bytes":327680,"link_mbps":3400000.0,"moves":true,"backups":true,"stride":16,"most":12,"kv_hold_s":0.5,"switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// playLatePrefill plays a release of decode servers while one prefill server is slow.
func playLatePrefill(r *record, trouble bool) error {
	f, err := newFleet(r, 3, 2)
	if err != nil {
		return err
	}
	defer f.end()
	if err := f.start(); err != nil {
		return err
	}
	var mu sync.Mutex
	runsAt := map[string]*server{} // by attempt
	onRun := func(s *server, attempt string, at time.Time) {
		mu.Lock()
		runsAt[attempt] = s
		mu.Unlock()
		if late := s.drainedFor(at); late > drainTime {
			r.breakf("%s reaches server %s %d ms after its draining state was acknowledged", attempt, s.id, late.Milliseconds())
		}
	}
	var servers, decoders []*server
	add := func(id, stage string) (*server, error) {
		s := f.newServer(id, "model", stage, 101+len(servers))
		s.onRun = onRun
		servers = append(servers, s)
		return s, s.start()
	}
	defer func() {
		for _, s := range servers {
			s.exit()
		}
	}()
	reader, err := add("i-read0", stagePrefill)
	if err != nil {
		return err
	}
	if _, err := add("i-read1", stagePrefill); err != nil {
		return err
	}
	for n := range 4 {
		s, err := add(fmt.Sprintf("i-made%d", n), stageDecode)
		if err != nil {
			return err
		}
		decoders = append(decoders, s)
	}
	if err := f.putConfig(modelConfig, 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)

	stop, requests := make(chan struct{}), sync.WaitGroup{}
	cut, served := 0, 0
	client := newClient()
	sendOne := func(n int) {
		attempt := newAttempt()
		r.logf("client sends %s to %s", attempt, f.entries[n%2].name)
		a := send(client, f.entries[n%2], "POST", "/note/2f", attempt, 14*time.Second, map[string]string{
			"Model": "m", "Token-Count": fmt.Sprintf("%d,70", promptTokens), "Length-Hint": "70",
			"Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%s:%d", attempt[:8], promptTokens-200),
		})
		mu.Lock()
		defer mu.Unlock()
		at := ""
		if s := runsAt[attempt]; s != nil {
			at = s.id
		}
		if a.isWhole() && strings.Count(string(a.body), "\n\n") == 70 {
			served++
		} else if a.status == 200 {
			cut++
		}
		r.logf("client has %s: status %d, %d events, err %v, run at %s", attempt, a.status, strings.Count(string(a.body), "\n\n"), a.err, at)
	}
	requests.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(meanPause))):
				requests.Go(func() { sendOne(n) })
			}
		}
	})
	time.Sleep(8 * time.Second)
	next := 0
	for round := range 10 {
		if trouble {
			r.logf("server %s turns slow", reader.id)
			reader.setSlowness(4)
		}
		time.Sleep(time.Second)
		for range 3 { // a release replaces decode servers, the new one first, one a second
			s, err := add(fmt.Sprintf("i-new%d", next), stageDecode)
			if err != nil {
				return err
			}
			old := decoders[next]
			decoders = append(decoders, s)
			next++
			go old.leave()
			time.Sleep(time.Second)
		}
		time.Sleep(1500 * time.Millisecond)
		reader.setSlowness(1)
		r.logf("round %d ends", round)
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	requests.Wait()
	r.logf("answers: %d whole, %d begun and broken off", served, cut)
	return nil
}
