package main

import (
	"strings"

	"github.com/gravitational/trace"
)

// applied is what became of one file or change.
type applied struct {
	Subtree  string   `json:"subtree"`
	Result   string   `json:"result"`
	Version  uint64   `json:"version"`
	ChangeID string   `json:"change_id,omitempty"`
	InForce  bool     `json:"in_force"`
	Pending  []string `json:"pending_instances,omitempty"`
}

// inForce says what is known: without --wait nothing was asked.
func (a applied) inForce() string {
	switch {
	case a.InForce:
		return "yes"
	case len(a.Pending) > 0:
		return "not on " + strings.Join(a.Pending, ",")
	}
	return "not asked"
}

// Results of one file.
const (
	resultAccepted  = "accepted"
	resultRepeated  = "accepted before"
	resultUnchanged = "unchanged"
)

func (a *app) showApplied(results []applied) error {
	if len(results) == 0 {
		return nil
	}
	t := &table{header: []string{"SUBTREE", "RESULT", "VERSION", "IN FORCE", "CHANGE"}}
	for _, r := range results {
		t.add(r.Subtree, r.Result, r.Version, r.inForce(), orDash(r.ChangeID))
	}
	return trace.Wrap(a.show(results, t))
}
