package main

import "context"

// part is one measurement, which starts its own fleets.
type part struct {
	name string
	run  func(context.Context, options, *report) error
}

var parts = []part{
	{"daemons", measureDaemons},
	{"endpoints", measureEndpoints},
	{"teams", measureTeams},
	{"commits", measureCommits},
	{"calls", measureCalls},
	{"leader", measureLeader},
}

func partNames() []string {
	names := make([]string, len(parts))
	for n, p := range parts {
		names[n] = p.name
	}
	return names
}
