package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The fleet and the load of playCrashWhileLeaving.
const (
	leavingPrefillServers = 2
	leavingDecodeServers  = 6
	leavingStreams        = 24
	leavingEvents         = 80
	leavingEventGapMs     = 50
	leavingCrashAfter     = 2 * time.Second // after its leave was confirmed
)

// playCrashWhileLeaving has a server leave while it generates, as planned, and crash before its
// streams have ended. Its answers have neither a length nor chunks.
func playCrashWhileLeaving(f *fleet, trouble bool) ([]string, error) {
	if err := startModelSite(f, leavingPrefillServers, leavingDecodeServers, leavingEventGapMs); err != nil {
		return nil, err
	}
	entries := f.resolve()
	var wait sync.WaitGroup
	streams := make([]*stream, leavingStreams)
	for n := range streams {
		prefix := []string{modelRoute, laterRoute}[n%2]
		wait.Go(func() {
			id := fmt.Sprintf("a%015x", n)
			f.record.add("client sends %s to %s%s", id, entries[n%len(entries)], prefix)
			streams[n] = requestStream(entries[n%len(entries)], prefix, id, siteObjective, 3000, leavingEvents)
			f.record.add("client got %v", streams[n])
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	victim := busiest(f)
	if victim == nil {
		return nil, errors.New("no server generates")
	}
	victim.signal(syscall.SIGTERM)
	f.record.add("%s is to leave", victim.name)
	if !f.awaitRecord(victim, "draining confirmed", 3*time.Second) {
		return nil, errors.New("the leave isn't confirmed")
	}
	f.record.add("%s: leave confirmed", victim.name)
	if trouble {
		time.Sleep(leavingCrashAfter)
		victim.signal(syscall.SIGKILL)
		f.record.add("%s crashes", victim.name)
	}
	wait.Wait()
	f.copyRecords()
	var broken []string
	whole := 0
	for _, s := range streams {
		if s.complete() && (s.lastEvent() != s.expected || len(s.events) != s.expected || s.foreign) {
			broken = append(broken, fmt.Sprintf("ORDER: the stream %s ended as complete after event %d of %d", s.id, s.lastEvent(), s.expected))
		}
		if s.complete() {
			whole++
		}
	}
	if !trouble && whole != len(streams) {
		broken = append(broken, fmt.Sprintf("without the disruption only %d of %d streams were served", whole, len(streams)))
	}
	return broken, nil
}

// startModelSite starts five control processes, three entries and model servers.
func startModelSite(f *fleet, prefill, decode, gapMs int) error {
	if err := f.start(5, 3); err != nil {
		return err
	}
	if err := f.putConfig(siteConfig(3, siteObjective)); err != nil {
		return err
	}
	for n := range prefill + decode {
		stage := "decode"
		if n < prefill {
			stage = "prefill"
		}
		if err := f.startServer(serverOptions{
			ID: fmt.Sprintf("i-%s%d", stage, n), Service: modelName, IP: f.ip(100 + n), Stage: stage, Slots: 64, EventGapMs: gapMs, Unframed: true, LingerMs: 3500,
		}); err != nil {
			return err
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond) // all servers have registered
	return nil
}

// events returns what a server has recorded.
func (f *fleet) events(p *process) []byte {
	data, _ := os.ReadFile(filepath.Join(f.folder, p.name+".events")) // missing until the server has started
	return data
}

// busiest returns the server that began the most runs.
func busiest(f *fleet) *process {
	var best *process
	most := 0
	for _, p := range f.servers {
		if n := bytes.Count(f.events(p), []byte(" runs ")); n > most {
			best, most = p, n
		}
	}
	return best
}

func (f *fleet) awaitRecord(p *process, text string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(10 * time.Millisecond) {
		if bytes.Contains(f.events(p), []byte(text)) {
			return true
		}
	}
	return false
}

// copyRecords adds what the servers recorded to the record of the case.
func (f *fleet) copyRecords() {
	for _, p := range f.servers {
		f.record.add("%s ran (by its own clock):\n%s", p.name, f.events(p))
	}
}
