package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The fleet and the load of playEndlessGarbage.
const (
	garbagePrefillServers = 2
	garbageDecodeServers  = 6
	garbageLength         = 45 * time.Second
	garbageClients        = 18 // on kept channels, each with one stream at a time
	garbageEvents         = 60
	garbageEventGapMs     = 20
	faultyServer          = "i-decode2"
	garbageEach           = 20  // the faulty server spoils one answer in so many
	memoryMB              = 134 // limits.memory_mb of an edge machine
	memoryPoll            = 20 * time.Millisecond
	restartPause          = 500 * time.Millisecond
	allowedLosses         = 3
)

// keptStreams are the streams that clients sent over kept channels.
type keptStreams struct {
	mu   sync.Mutex // guards the fields below
	cut  []string   // IDs of those whose channel ended without a whole answer
	sent int
}

// playEndlessGarbage has one model server send bytes that are no response in place of a few of its
// answers. The platform ends processes that use more memory than they have, and starts them again.
func playEndlessGarbage(f *fleet, trouble bool) ([]string, error) {
	if err := startGarbageSite(f, trouble); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var platform sync.WaitGroup
	kills := make([]int, len(f.entries))
	for n, e := range f.entries {
		platform.Go(func() { kills[n] = f.enforceMemory(e, stop) })
	}
	streams := &keptStreams{}
	var clients sync.WaitGroup
	for n := range garbageClients {
		clients.Go(func() { streams.runClient(f, n) })
	}
	clients.Wait()
	close(stop)
	platform.Wait()
	f.copyRecords()
	lost := streams.lostAtSoundServers(f)
	f.record.add("%d streams, %d cut, of these %d at a sound server; ends of entries by their memory: %v", streams.sent, len(streams.cut), len(lost), kills)
	if len(lost) <= allowedLosses {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %d streams that were passed on from kept channels to sound servers ended without an answer, as entries ended by themselves (%v times, memory over %d MB)",
		len(lost), kills, memoryMB)}, nil
}

func startGarbageSite(f *fleet, trouble bool) error {
	if err := f.start(5, 3); err != nil {
		return err
	}
	if err := f.putConfig(siteConfig(3, siteObjective)); err != nil {
		return err
	}
	for n := range garbagePrefillServers + garbageDecodeServers {
		o := serverOptions{
			ID: fmt.Sprintf("i-decode%d", n), Service: modelName, IP: f.ip(100 + n), Stage: "decode", Slots: 64, EventGapMs: garbageEventGapMs, LingerMs: 3500,
		}
		switch {
		case n < garbagePrefillServers:
			o.ID, o.Stage = fmt.Sprintf("i-prefill%d", n), "prefill"
		case o.ID == faultyServer && trouble:
			o.SpoilEach = garbageEach
		}
		if err := f.startServer(o); err != nil {
			return err
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond) // all servers have registered
	return nil
}

// enforceMemory does what the platform does: it ends a process that uses more memory than it has,
// and starts it again after a short delay. It returns how often.
func (f *fleet) enforceMemory(p *process, stop <-chan struct{}) (kills int) {
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(memoryPoll):
		}
		used := p.memoryMB()
		if used <= memoryMB {
			continue
		}
		kills++
		f.record.add("%s uses %d MB and is ended", p.name, used)
		p.signal(syscall.SIGKILL)
		<-p.exited
		time.Sleep(restartPause)
		if err := f.startDaemon(p, false); err != nil {
			f.record.add("%s is not back: %v", p.name, err)
			return kills
		}
	}
}

// memoryMB returns the resident memory of a process; 0 if it has ended.
func (p *process) memoryMB() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid)) // empty if it has ended
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// runClient sends streams one after the other over a channel that it keeps.
func (k *keptStreams) runClient(f *fleet, client int) {
	var conn net.Conn
	var reader *bufio.Reader
	began := time.Now()
	for n := 0; time.Since(began) < garbageLength; n++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", at(f.entries[(client+n)%len(f.entries)].ip, callerPort), time.Second); err != nil {
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("a%03x%012x", client, n)
		whole, keep := k.send(f, conn, reader, id)
		if !whole {
			k.mu.Lock()
			k.cut = append(k.cut, id)
			k.mu.Unlock()
		}
		if !keep {
			_ = conn.Close() // nothing more is sent over it
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close() // as above
	}
}

// send sends one stream and reads its answer. whole is false if the channel ended without one.
func (k *keptStreams) send(f *fleet, conn net.Conn, reader *bufio.Reader, id string) (whole, keep bool) {
	k.mu.Lock()
	k.sent++
	k.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(14 * time.Second)) // fails only if it has ended
	body := "bale " + id
	_, err := fmt.Fprintf(conn, "POST %s2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Count: 3000,%d\r\nLength-Hint: %d\r\nPrompt-Prefix: 5c1e07a2:200,%s:2800\r\nDeadline-Ms: 14000\r\nContent-Length: %d\r\n\r\n%s",
		modelRoute, host, id, garbageEvents, garbageEvents, id, len(body), body)
	if err != nil {
		return true, false // it crossed the end of the channel
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	if err != nil {
		f.record.add("client got no whole answer to %s: %v", id, err)
		return false, false
	}
	if response.StatusCode != http.StatusOK {
		f.record.add("client got %d for %s", response.StatusCode, id)
	}
	return true, !response.Close
}

// lostAtSoundServers returns the cut streams that another server than the faulty one had begun.
func (k *keptStreams) lostAtSoundServers(f *fleet) []string {
	var lost []string
	for _, id := range k.cut {
		for _, p := range f.servers {
			if p.name != faultyServer && bytes.Contains(f.events(p), []byte(" runs "+id+" ")) {
				lost = append(lost, id)
			}
		}
	}
	return lost
}
