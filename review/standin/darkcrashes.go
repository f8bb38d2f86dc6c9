package main

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The fleet and the load of playDarkCrashes.
const (
	darkServers     = 4
	darkFor         = 3 * time.Second // until a machine is back
	darkLength      = 30 * time.Second
	darkPoisonPause = 4 * time.Second        // between two clients' tries of the request that crashes
	darkSoundPause  = 40 * time.Millisecond  // between two sound requests
	darkRunTime     = 20 * time.Millisecond  // from the arrival of the request until its machine is dark
	darkRetryPause  = 200 * time.Millisecond // of a client
	poisonPath      = logRoute + "7e"
	crashesToLearn  = 3 // after which the request must be known
	allowedRetries  = 3
)

// darkSite is the plain service whose machines go dark when they run one request.
type darkSite struct {
	fleet *fleet

	mu      sync.Mutex // guards the fields below
	starts  map[int]int
	ended   bool
	crashes []time.Duration
}

// playDarkCrashes has one request, which comes again and again, take down the machine of each server
// that begins to run it: it goes dark and is back after darkFor, as a new lifetime.
func playDarkCrashes(f *fleet, trouble bool) ([]string, error) {
	if err := f.start(5, 3); err != nil {
		return nil, err
	}
	if err := f.putConfig(plainConfig(3)); err != nil {
		return nil, err
	}
	site := &darkSite{fleet: f, starts: map[int]int{}}
	for n := range darkServers {
		if err := site.startServer(n, trouble); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(1500 * time.Millisecond) // all servers have registered
	entries := f.resolve()
	if len(entries) == 0 {
		return nil, errors.New("no entries")
	}
	sound, served := playSound(f, entries)
	for n, began := 0, time.Now(); time.Since(began) < darkLength; n++ {
		sendPoison(f, entries, n)
		time.Sleep(darkPoisonPause)
	}
	site.mu.Lock()
	site.ended = true
	site.mu.Unlock()
	f.copyRecords()
	f.record.add("%d of %d sound requests were served", served.Load(), sound.Load())
	return site.judge(trouble, sound.Load(), served.Load()), nil
}

// sendPoison sends the request as one client does: it tries a second time after a failure.
func sendPoison(f *fleet, entries []string, n int) {
	for try := range 2 {
		id := fmt.Sprintf("c%07x%08x", n, try)
		status := requestPlain(entries[(n+try)%len(entries)], http.MethodGet, poisonPath, id, plainPatience/2)
		f.record.add("client sent %s %s for the %d. time, got %d", id, poisonPath, n+1, status)
		if status == http.StatusOK || status == http.StatusNotFound {
			return
		}
		time.Sleep(darkRetryPause)
	}
}

// playSound sends requests of other callers for darkLength, and counts them.
func playSound(f *fleet, entries []string) (sent, served *atomic.Int64) {
	sent, served = &atomic.Int64{}, &atomic.Int64{}
	go func() {
		for n, began := 0, time.Now(); time.Since(began) < darkLength; n++ {
			go func() {
				id := fmt.Sprintf("d%015x", n)
				sent.Add(1)
				status := requestPlain(entries[n%len(entries)], http.MethodPost, fmt.Sprintf("%s%x", slipRoute, n), id, plainPatience)
				if status == http.StatusOK {
					served.Add(1)
					return
				}
				f.record.add("sound %s got %d", id, status)
			}()
			time.Sleep(darkSoundPause)
		}
	}()
	return sent, served
}

// startServer starts the next lifetime of a server, and its machine.
func (d *darkSite) startServer(n int, trouble bool) error {
	d.starts[n]++
	o := serverOptions{
		ID: fmt.Sprintf("i-app%d-%d", n, d.starts[n]), Service: plainName, IP: d.fleet.ip(150 + n), PublicIP: d.fleet.ip(100 + n), Slots: 6,
	}
	p, err := newProxy(o.PublicIP, at(o.IP, serverPort))
	if err != nil {
		return err
	}
	if trouble {
		p.triggerText, p.trigger = []byte("GET "+poisonPath+" "), func() { d.crash(n, o.ID, p) }
	}
	d.fleet.proxies[o.ID] = p
	return d.fleet.startServer(o)
}

// crash takes the machine of a server down, and up again after darkFor.
func (d *darkSite) crash(n int, id string, p *proxy) {
	time.Sleep(darkRunTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	d.crashes = append(d.crashes, time.Since(d.fleet.record.began))
	if err := p.setDark(); err != nil {
		d.fleet.record.add("could not make %s dark: %v", id, err)
	}
	d.fleet.servers[id].signal(syscall.SIGKILL)
	d.fleet.record.add("the machine of %s crashes and is dark", id)
	time.AfterFunc(darkFor, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.ended {
			return
		}
		_ = p.listener.Close() // its successor listens there
		p.dropPairs()
		if err := d.startServer(n, true); err != nil {
			d.fleet.record.add("%s is not back: %v", id, err)
			return
		}
		d.fleet.record.add("the machine of %s is back", id)
	})
}

var poisonRun = regexp.MustCompile(`(?m)^ *([0-9.]+) s  \S+ runs (\S+) ` + regexp.QuoteMeta(poisonPath) + `$`)

// judge returns whether the request reached servers too often after it could be known.
func (d *darkSite) judge(trouble bool, sound, served int64) []string {
	if !trouble {
		if served < sound-sound/50 {
			return []string{fmt.Sprintf("without the disruption only %d of %d sound requests were served", served, sound)}
		}
		return nil
	}
	if len(d.crashes) < crashesToLearn {
		return nil
	}
	known := d.crashes[crashesToLearn-1] + contactWindow
	late := 0
	for _, p := range d.fleet.servers {
		for _, fields := range poisonRun.FindAllStringSubmatch(string(d.fleet.events(p)), -1) {
			seconds, _ := strconv.ParseFloat(fields[1], 64)
			if time.Duration(seconds*float64(time.Second)) > known {
				late++
			}
		}
	}
	d.fleet.record.add("%d crashes; the request reached servers %d times later than %.3f s", len(d.crashes), late, known.Seconds())
	if late <= allowedRetries {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: the request crashed %d servers, the third at %.3f s, and reached servers %d times later than %.3f s; %d of %d sound requests were served",
		len(d.crashes), d.crashes[crashesToLearn-1].Seconds(), late, known.Seconds(), served, sound)}
}
