package main

import (
	"fmt"
	"syscall"
	"time"
)

// Times of playLostFirstSeed.
const (
	firstSeedLives  = 250 * time.Millisecond
	successorStarts = time.Second // after the first seed is gone
)

// playLostFirstSeed has the core machine that forms the group lost for good just after the first
// start, and replaced by an empty one at another address. It is no case of the review; REPORT.md
// names it.
func playLostFirstSeed(f *fleet, trouble bool) ([]string, error) {
	if err := f.start(5, 3); err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(firstSeedLives)
		f.controls[0].signal(syscall.SIGKILL)
		f.record.add("%s is gone for good", f.controls[0].name)
		time.Sleep(successorStarts)
		successor := &process{name: "core-new", ip: f.ip(30), role: "control"}
		if err := f.startDaemon(successor, false); err != nil {
			return nil, err
		}
		f.controls = append(f.controls[1:], successor)
	}
	began := time.Now()
	for range 2 {
		if f.putConfig(plainConfig(3)) == nil {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("no configuration was confirmed in %.0f s", time.Since(began).Seconds())}, nil
}
