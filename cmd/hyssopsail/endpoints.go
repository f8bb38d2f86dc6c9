package main

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func addEndpoints(a *app, parser *kingpin.Application) {
	command := parser.Command("endpoints", "List the endpoints that announced themselves, with their load.")
	command.Action(a.commandAction(a.endpoints))
}

func (a *app) endpoints() error {
	client, err := a.connection.client()
	if err != nil {
		return trace.Wrap(err)
	}
	reply, err := client.Endpoints(a.ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	t := &table{header: []string{"ENDPOINT", "ZONE", "ROLE", "SERVES", "ADDRESS", "SLOTS", "QUEUED", "STATE", "TOKENS"}}
	for _, e := range reply.Endpoints {
		t.add(e.GetId(), e.GetAvailabilityZone(), e.GetRole(), servedNames(e), e.GetAddress(),
			fmt.Sprintf("%d/%d", e.GetGranted(), e.GetSlots()), e.GetQueued(), endpointState(e), tokenChecking(e))
	}
	return a.show(reply, t)
}

func servedNames(e *pb.EndpointDigest) string {
	if e.GetService() != "" {
		return e.GetService()
	}
	return orDash(strings.Join(e.GetModels(), ","))
}

func endpointState(e *pb.EndpointDigest) string {
	if e.GetLeaving() {
		return "leaving"
	}
	return "live"
}

// tokenChecking reports whether the endpoint refuses orders with an old fencing token.
func tokenChecking(e *pb.EndpointDigest) string {
	if e.GetChecksTokens() {
		return "checked"
	}
	return "ignored"
}
