package main

import (
	"strings"

	"github.com/gravitational/trace"
)

// applyResult is the result of one file or change.
type applyResult struct {
	Subtree  string   `json:"subtree"`
	Result   string   `json:"result"`
	Version  uint64   `json:"version"`
	ChangeID string   `json:"change_id,omitempty"`
	InForce  bool     `json:"in_force"`
	Pending  []string `json:"pending_instances,omitempty"`
}

// inForceText says where the change is in force. Without --wait the instances
// weren't asked.
func (a applyResult) inForceText() string {
	switch {
	case a.InForce:
		return "yes"
	case len(a.Pending) > 0:
		return "not on " + strings.Join(a.Pending, ",")
	}
	return "not asked"
}

// The values of applyResult.Result.
const (
	resultAccepted  = "accepted"
	resultRepeated  = "accepted before"
	resultUnchanged = "unchanged"
)

func (a *app) showApplied(results []applyResult) error {
	if len(results) == 0 {
		return nil
	}
	t := &table{header: []string{"SUBTREE", "RESULT", "VERSION", "IN FORCE", "CHANGE"}}
	for _, r := range results {
		t.add(r.Subtree, r.Result, r.Version, r.inForceText(), orDash(r.ChangeID))
	}
	return trace.Wrap(a.show(results, t))
}
