package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// addWait adds the flag of each command that sends a change.
func addWait(command *kingpin.CmdClause, wait *time.Duration) {
	command.Flag("wait", "Wait until the change is in force on each live instance, at most so long; 0s answers at commit.").
		Default("0s").DurationVar(wait)
}

func (a *app) sendAndShow(client *operator.Client, change *pb.ChangeSubtree, wait time.Duration) error {
	result, err := a.send(client, change, wait)
	if err != nil {
		return trace.Wrap(err)
	}
	return a.showApplied([]applied{result})
}

// send asks for one change and turns each outcome but acceptance into an error.
func (a *app) send(client *operator.Client, change *pb.ChangeSubtree, wait time.Duration) (applied, error) {
	reply, err := a.sendOnce(client, change, wait)
	if err != nil {
		return applied{}, trace.Wrap(err)
	}
	result := reply.GetResult()
	switch result.GetStatus() {
	case pb.ChangeStatus_CHANGE_STATUS_ACCEPTED:
		return acceptedResult(change, reply, wait)
	case pb.ChangeStatus_CHANGE_STATUS_CONFLICT:
		return applied{}, conflict(change, result)
	case pb.ChangeStatus_CHANGE_STATUS_INVALID:
		return applied{}, fail(exitRefused, trace.BadParameter("%s is refused: %s", change.Name, result.GetDetail()))
	}
	return applied{}, trace.Errorf("%s: the daemon gave a status that this tool doesn't know: %v", change.Name, result.GetStatus())
}

// sendOnce sends a change under its own ID, or under one made of its content.
//
// The group keeps the first answer of an ID. When that was a refusal whose
// cause is mended by now (the fleet has the missing zone), the same file would
// be refused for ever: the repeated refusal shows that nothing was changed
// under the first ID, so a fresh one can't apply the change twice.
func (a *app) sendOnce(client *operator.Client, change *pb.ChangeSubtree, wait time.Duration) (*pb.ChangeReply, error) {
	request := &pb.ChangeRequest{Change: change, WaitInForceMs: uint64(min(wait, operator.MaxWaitInForce).Milliseconds())}
	if change.ChangeId != "" {
		return client.Change(a.ctx, request)
	}
	change.ChangeId = changeID(client.KeyHash(), change)
	reply, err := client.Change(a.ctx, request)
	result := reply.GetResult()
	if err != nil || !result.GetRepeated() || result.GetStatus() == pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
		return reply, err
	}
	change.ChangeId += "-" + uuid.NewString()
	return client.Change(a.ctx, request)
}

func acceptedResult(change *pb.ChangeSubtree, reply *pb.ChangeReply, wait time.Duration) (applied, error) {
	out := applied{
		Subtree:  change.Name,
		Result:   resultAccepted,
		Version:  reply.GetResult().GetVersion(),
		ChangeID: change.ChangeId,
		InForce:  reply.GetInForce(),
		Pending:  reply.GetPendingInstances(),
	}
	if reply.GetResult().GetRepeated() {
		out.Result = resultRepeated
	}
	if wait > 0 && !out.InForce {
		return out, fail(exitNotInForce, trace.LimitExceeded("%s version %d is accepted but not yet in force on %v after %v",
			out.Subtree, out.Version, out.Pending, wait))
	}
	return out, nil
}

func conflict(change *pb.ChangeSubtree, result *pb.ChangeResult) error {
	newer := result.GetCurrent()
	return fail(exitConflict, trace.CompareFailed(
		"%s is at version %d (by %s, %s), not at %d; nothing was changed. What the change would undo or do:\n%s"+
			"Start again from \"settings get\", or give --overwrite.",
		change.Name, result.GetVersion(), orDash(newer.GetAuthor()), moment(newer.GetAcceptedUnixMs()), change.ExpectedVersion,
		settings.Diff(change.Name, newer.GetYaml(), change.Yaml)))
}

func moment(unixMs int64) string { return time.UnixMilli(unixMs).UTC().Format(time.RFC3339) }

// changeID names a change by who does what, so that the same command run again
// after a lost reply is the same change, and any other is another.
func changeID(who keyhash.Hash, change *pb.ChangeSubtree) string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\x00%s\x00%d\x00", who, change.Name, change.ExpectedVersion) // a hash takes any write
	_, _ = hash.Write(change.Yaml)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
