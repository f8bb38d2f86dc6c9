package main

import (
	"fmt"
	"os"
	"time"
)

// play is one case: it starts a fleet, brings about the disruption if trouble is set, and returns
// what broke the rule; empty if it held.
type play func(f *fleet, trouble bool) (broken []string, err error)

var cases = map[string]play{
	"crash-while-leaving": playCrashWhileLeaving,
	"silent-channel":      playSilentChannel,
	"dark-crashes":        playDarkCrashes,
	"endless-garbage":     playEndlessGarbage,
	"lost-first-seed":     playLostFirstSeed,
}

func runCase(p play) int {
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	r, err := newRecord(path, time.Now())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.end()
	broken, err := p(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	for _, line := range broken {
		r.add("BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.add("held")
	fmt.Println("held")
	return exitHeld
}
