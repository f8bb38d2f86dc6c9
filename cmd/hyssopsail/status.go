package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func addStatus(a *app, parser *kingpin.Application) {
	command := parser.Command("status", "Show the control group and the instances of the fleet.")
	command.Action(a.commandAction(a.status))
}

func (a *app) status() error {
	client, err := a.connection.client()
	if err != nil {
		return trace.Wrap(err)
	}
	reply, err := client.Status(a.ctx, &pb.StatusRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	return a.show(reply, groupTable(reply), memberTable(reply), instanceTable(reply))
}

func groupTable(reply *pb.StatusReply) *table {
	t := &table{header: []string{"FLEET", "ASKED", "LEADER", "TERM", "COMMIT", "APPLIED", "VIEW", "STORAGE"}}
	storage := "ok"
	if reply.GetStorageFailed() {
		storage = "FAILED"
	}
	t.add(orDash(reply.GetFleetId()), orDash(reply.GetInstanceId()), orDash(reply.GetLeaderInstance()), reply.GetTerm(),
		reply.GetCommitIndex(), reply.GetAppliedIndex(), reply.GetViewNumber(), storage)
	return t
}

func memberTable(reply *pb.StatusReply) *table {
	t := &table{header: []string{"MEMBER", "RPC", "DISK", "VOTES", "MATCH", "CONTACT"}}
	for _, m := range reply.GetMembers() {
		member := m.GetMember()
		t.add(member.GetInstanceId(), member.GetRpcAddress(), orDash(member.GetDiskId()), !member.GetLearner(),
			m.GetMatchIndex(), formatAge(m.GetLastContactMs()))
	}
	return t
}

func instanceTable(reply *pb.StatusReply) *table {
	t := &table{header: []string{"INSTANCE", "ZONE", "ROLES", "CALLERS", "STATE", "APPLIED", "RENEWED"}}
	for _, status := range reply.GetInstances() {
		instance := status.GetInstance()
		t.add(instance.GetId(), instance.GetAvailabilityZone(), rolesOf(instance), orDash(instance.GetCallerAddress()),
			stateOf(instance), status.GetAppliedIndex(), formatAge(status.GetLastRenewalMs()))
	}
	return t
}

func rolesOf(instance *pb.InstanceRecord) string {
	switch {
	case instance.GetEntry() && instance.GetControl():
		return "entry,control"
	case instance.GetEntry():
		return "entry"
	}
	return "control"
}

func stateOf(instance *pb.InstanceRecord) string {
	if instance.GetDraining() {
		return "draining"
	}
	return "live"
}

// formatAge formats milliseconds as "1.5s ago"; a negative number means never.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
