package main

import (
	"time"
)

// options are the settings of one run. One machine limits all sizes: at most 60
// daemons and some hundreds of emulated endpoints.
type options struct {
	binFolder string // folder of the built programs
	folder    string // temporary folder
	jsonFile  string // path of the JSON file; empty: none is written
	control   int    // control instances of each fleet
	onlyPart  string // name of the only part to run; empty: all

	daemons        []int // sizes of fleets, control included
	endpoints      []int
	teams          []int
	windowDuration time.Duration // of one sample window
	windowsPerSize int           // sample windows for each size
	settleDuration time.Duration // between a change of size and its first window
	timedChanges   int           // sent one after another, to measure when they are in force
	leaderKills    int           // how often the leader is killed
	burstDuration  time.Duration // of each test at full rate
	callsPerKind   int           // sequential requests of each kind
}

func shortOptions() options {
	return options{
		daemons: []int{3, 9, 27}, endpoints: []int{27, 81}, teams: []int{100, 700},
		windowDuration: 3 * time.Second, windowsPerSize: 1, settleDuration: 2 * time.Second,
		timedChanges: 10, leaderKills: 3, burstDuration: 2 * time.Second, callsPerKind: 20,
	}
}

func fullOptions() options {
	return options{
		daemons: []int{3, 9, 27, 60}, endpoints: []int{27, 81, 243}, teams: []int{100, 700, 2100},
		windowDuration: 10 * time.Second, windowsPerSize: 2, settleDuration: 5 * time.Second,
		timedChanges: 80, leaderKills: 30, burstDuration: 5 * time.Second, callsPerKind: 100,
	}
}
