package main

import (
	"time"
)

// options are the sizes of one run. All sizes are bounded by one machine: at
// most 60 daemons and some hundreds of emulated endpoints.
type options struct {
	bin     string // folder of the built programs
	folder  string // scratch
	out     string // JSON file; empty: none
	control int    // control instances of each fleet
	only    string // one part alone; empty: all

	daemons   []int // sizes of fleets, control included
	endpoints []int
	teams     []int
	window    time.Duration // of one measurement of rates
	repeats   int           // windows of each size
	settle    time.Duration // between a change of size and its first window
	changes   int           // timed one after another
	kills     int           // of the leader
	burst     time.Duration // of each test at full rate
	calls     int           // of each kind, one after another
}

func shortOptions() options {
	return options{
		daemons: []int{3, 9, 27}, endpoints: []int{27, 81}, teams: []int{100, 700},
		window: 3 * time.Second, repeats: 1, settle: 2 * time.Second,
		changes: 10, kills: 3, burst: 2 * time.Second, calls: 20,
	}
}

func fullOptions() options {
	return options{
		daemons: []int{3, 9, 27, 60}, endpoints: []int{27, 81, 243}, teams: []int{100, 700, 2100},
		window: 10 * time.Second, repeats: 2, settle: 5 * time.Second,
		changes: 80, kills: 30, burst: 5 * time.Second, calls: 100,
	}
}
