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

// addWait adds --wait to a command that sends a change.
func addWait(command *kingpin.CmdClause, wait *time.Duration) {
	command.Flag("wait", "Wait until the change is in force on each live instance, at most so long; 0s answers at commit.").
		Default("0s").DurationVar(wait)
}

func (a *app) sendAndShow(client *operator.Client, change *pb.ChangeSubtree, wait time.Duration) error {
	result, err := a.sendChange(client, change, wait)
	if err != nil {
		return trace.Wrap(err)
	}
	return a.showApplied([]applyResult{result})
}

// sendChange sends one change and returns an error for any status but accepted.
func (a *app) sendChange(client *operator.Client, change *pb.ChangeSubtree, wait time.Duration) (applyResult, error) {
	reply, err := a.sendChangeRequest(client, change, wait)
	if err != nil {
		return applyResult{}, trace.Wrap(err)
	}
	result := reply.GetResult()
	switch result.GetStatus() {
	case pb.ChangeStatus_CHANGE_STATUS_ACCEPTED:
		return acceptedResult(change, reply, wait)
	case pb.ChangeStatus_CHANGE_STATUS_CONFLICT:
		return applyResult{}, conflictError(change, result)
	case pb.ChangeStatus_CHANGE_STATUS_INVALID:
		return applyResult{}, withExitCode(exitRefused, trace.BadParameter("%s is refused: %s", change.Name, result.GetDetail()))
	}
	return applyResult{}, trace.Errorf("%s: the daemon gave a status that this tool doesn't know: %v", change.Name, result.GetStatus())
}

// sendChangeRequest sends a change under its own ID, or under one derived from
// its content.
//
// The control group records the first answer for an ID and repeats it. After a
// refusal whose cause has been fixed since (such as a missing zone), the same file
// would therefore be refused for ever. A repeated refusal shows that nothing was
// changed under the first ID, so sending under a new one can't apply the change twice.
func (a *app) sendChangeRequest(client *operator.Client, change *pb.ChangeSubtree, wait time.Duration) (*pb.ChangeReply, error) {
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

func acceptedResult(change *pb.ChangeSubtree, reply *pb.ChangeReply, wait time.Duration) (applyResult, error) {
	out := applyResult{
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
		return out, withExitCode(exitNotInForce, trace.LimitExceeded("%s version %d is accepted but not yet in force on %v after %v",
			out.Subtree, out.Version, out.Pending, wait))
	}
	return out, nil
}

func conflictError(change *pb.ChangeSubtree, result *pb.ChangeResult) error {
	newer := result.GetCurrent()
	return withExitCode(exitConflict, trace.CompareFailed(
		"%s is at version %d (by %s, %s), not at %d; nothing was changed. What the change would undo or do:\n%s"+
			"Start again from \"settings get\", or give --overwrite.",
		change.Name, result.GetVersion(), orDash(newer.GetAuthor()), formatUnixMs(newer.GetAcceptedUnixMs()), change.ExpectedVersion,
		settings.Diff(change.Name, newer.GetYaml(), change.Yaml)))
}

func formatUnixMs(unixMs int64) string { return time.UnixMilli(unixMs).UTC().Format(time.RFC3339) }

// changeID derives a change ID from the operator and the change, so that the same
// command run again after a lost reply sends the same ID, and any other another.
func changeID(who keyhash.Hash, change *pb.ChangeSubtree) string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\x00%s\x00%d\x00", who, change.Name, change.ExpectedVersion) // a hash takes any write
	_, _ = hash.Write(change.Yaml)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
