package main

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// The fleet and the load of playSilentChannel.
const (
	silentPrefillServers = 2
	silentDecodeServers  = 6
	silentWarmUp         = 12 * time.Second // of short streams, so that the retry budget has something
	silentWarmUpPause    = 60 * time.Millisecond
	silentStreams        = 12
	silentEvents         = 200
	silentEventGapMs     = 50
	silentObjective      = 2 * time.Second        // target_latency_ms of the route
	contactWindow        = 3 * time.Second        // contact_window_ms
	stillAtWork          = 400 * time.Millisecond // after which the server before must have stopped
)

// playSilentChannel has all open channels to one model server go silent while it generates streams
// that may be resumed; new channels to it work.
func playSilentChannel(f *fleet, trouble bool) ([]string, error) {
	if err := startProxiedSite(f); err != nil {
		return nil, err
	}
	entries := f.resolve()
	var wait sync.WaitGroup
	send := func(id string, n, events int) *stream {
		s := requestStream(entries[n%len(entries)], laterRoute, id, silentObjective, 3000, events)
		f.record.add("client got %v", s)
		return s
	}
	for n, began := 0, time.Now(); time.Since(began) < silentWarmUp; n++ {
		wait.Go(func() { send(fmt.Sprintf("b%015x", n), n, 4) })
		time.Sleep(silentWarmUpPause)
	}
	wait.Wait()
	streams := make([]*stream, silentStreams)
	for n := range streams {
		wait.Go(func() { streams[n] = send(fmt.Sprintf("a%015x", n), n, silentEvents) })
	}
	time.Sleep(time.Second)
	victim := busiestNow(f)
	if victim == nil {
		return nil, errors.New("no server generates")
	}
	silentAt := time.Since(f.record.began)
	if trouble {
		n, err := f.proxies[victim.name].silence()
		if err != nil {
			return nil, err
		}
		f.record.add("all %d open channels to %s are silent from now on, new ones work", n, victim.name)
		time.Sleep(contactWindow + 2*time.Second)
		_, report := call(http.MethodGet, "http://"+at(f.proxies[victim.name].host, serverPort)+"/report", nil)
		f.record.add("%s says over a new channel: %s", victim.name, report)
	}
	wait.Wait()
	f.copyRecords()
	var broken []string
	whole := 0
	for _, s := range streams {
		if s.complete() && s.lastEvent() == s.expected {
			whole++
		}
		broken = append(broken, runsAtOnce(f, s.id, silentAt+contactWindow)...)
	}
	f.record.add("%d of %d streams came whole", whole, len(streams))
	if !trouble && whole != len(streams) {
		broken = append(broken, fmt.Sprintf("without the disruption only %d of %d streams came whole", whole, len(streams)))
	}
	return broken, nil
}

// startProxiedSite starts the site with a proxy before each server.
func startProxiedSite(f *fleet) error {
	if err := f.start(5, 3); err != nil {
		return err
	}
	if err := f.putConfig(siteConfig(3, silentObjective)); err != nil {
		return err
	}
	for n := range silentPrefillServers + silentDecodeServers {
		stage := "decode"
		if n < silentPrefillServers {
			stage = "prefill"
		}
		o := serverOptions{
			ID: fmt.Sprintf("i-%s%d", stage, n), Service: modelName, IP: f.ip(150 + n), PublicIP: f.ip(100 + n), Stage: stage, Slots: 64,
			EventGapMs: silentEventGapMs, LingerMs: 3500,
		}
		p, err := newProxy(o.PublicIP, at(o.IP, serverPort))
		if err != nil {
			return err
		}
		f.proxies[o.ID] = p
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

var madePattern = regexp.MustCompile(`(?m)^ *([0-9.]+) s  \S+ makes (\S+) event (\d+)$`)

// madeBy returns when a server made the events of a request.
func (f *fleet) madeBy(p *process, id string) []time.Duration {
	var times []time.Duration
	for _, fields := range madePattern.FindAllStringSubmatch(string(f.events(p)), -1) {
		if fields[2] == id {
			seconds, _ := strconv.ParseFloat(fields[1], 64)
			times = append(times, time.Duration(seconds*float64(time.Second)))
		}
	}
	return times
}

// busiestNow returns the server that makes events of the most long streams.
func busiestNow(f *fleet) *process {
	var best *process
	most := 0
	for _, p := range f.servers {
		count := 0
		for n := range silentStreams {
			if len(f.madeBy(p, fmt.Sprintf("a%015x", n))) > 0 {
				count++
			}
		}
		if count > most {
			best, most = p, count
		}
	}
	return best
}

// runsAtOnce returns where a request went on at a second server while the first one still worked on
// it stillAtWork later, at a time when the sender is in touch.
func runsAtOnce(f *fleet, id string, inTouchFrom time.Duration) []string {
	var broken []string
	for _, first := range f.servers {
		for _, second := range f.servers {
			a, b := f.madeBy(first, id), f.madeBy(second, id)
			if first == second || len(a) == 0 || len(b) == 0 || a[0] > b[0] {
				continue
			}
			wentOn, lastOfFirst := b[0], a[len(a)-1]
			if lastOfFirst > max(wentOn, inTouchFrom)+stillAtWork {
				broken = append(broken, fmt.Sprintf("TWICE: %s went on at %s at %.3f s, and %s worked on it until %.3f s; all machines were in touch from %.3f s on",
					id, second.name, wentOn.Seconds(), first.name, lastOfFirst.Seconds(), inTouchFrom.Seconds()))
			}
		}
	}
	return broken
}
