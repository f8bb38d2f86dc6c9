package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// settingsApply sends files to the fleet.
type settingsApply struct {
	app       *app
	path      string
	expect    int64
	overwrite bool
	changeID  string
	wait      time.Duration
	results   []applied
}

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

const noExpectation = -1

func addSettingsApply(a *app, group *kingpin.CmdClause) {
	c := &settingsApply{app: a}
	command := group.Command("apply", "Change the subtrees of a file or a folder (fleet.yaml, teams/*.yaml), each by itself. "+
		"A change names the version that it began from: the first line that \"settings get\" writes, or --expect; without either it only creates. "+
		"When another change came first, nothing is changed and the newer version is shown.")
	command.Arg("path", "File or folder.").Required().StringVar(&c.path)
	command.Flag("expect", "Version that the edit began from; for one file.").Default(fmt.Sprint(noExpectation)).Int64Var(&c.expect)
	command.Flag("overwrite", "Take whatever version the fleet has now as the one to change.").BoolVar(&c.overwrite)
	command.Flag("change-id", "ID under which the change may be sent again; by default made of subtree, version and content.").StringVar(&c.changeID)
	command.Flag("wait", "Wait until the change is in force on each live instance, at most so long; 0s answers at commit.").Default("0s").DurationVar(&c.wait)
	command.Action(a.do(c.run))
}

func (c *settingsApply) run() error {
	files, err := readSettings(c.path)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(files) > 1 && (c.expect != noExpectation || c.changeID != "") {
		return fail(exitUsage, trace.BadParameter("--expect and --change-id are for one file"))
	}
	// All files are checked before the first is sent.
	if err := checkSettings(files); err != nil {
		return trace.Wrap(err)
	}
	return errors.Join(c.applyAll(files), c.app.showApplied(c.results))
}

// applyAll stops at the first file that isn't accepted. One that is accepted
// but not in force in time stops nothing: it can't be taken back.
func (c *settingsApply) applyAll(files []settingsFile) error {
	var late error
	for _, file := range files {
		result, err := c.applyFile(file)
		if err != nil && result.Result == "" {
			return err
		}
		c.results = append(c.results, result)
		late = errors.Join(late, err)
	}
	return late
}

func (c *settingsApply) applyFile(file settingsFile) (applied, error) {
	client, current, err := c.app.currentSubtree(file.subtree)
	if err != nil {
		return applied{}, trace.Wrap(err)
	}
	content := file.content()
	if len(current.GetYaml()) > 0 && bytes.Equal(current.GetYaml(), content) {
		return applied{Subtree: file.subtree, Result: resultUnchanged, Version: current.GetVersion()}, nil
	}
	change := &pb.ChangeSubtree{Name: file.subtree, ExpectedVersion: c.expected(file, current), Yaml: content, ChangeId: c.changeID}
	return c.app.send(client, change, c.wait)
}

func (c *settingsApply) expected(file settingsFile, current *pb.SubtreeDocument) uint64 {
	switch {
	case c.expect != noExpectation:
		return uint64(c.expect)
	case c.overwrite:
		return current.GetVersion()
	}
	return file.version
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
	request := &pb.ChangeRequest{Change: change, WaitInForceMs: uint64(min(wait, operator.MaxWait).Milliseconds())}
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
func changeID(who settings.KeyHash, change *pb.ChangeSubtree) string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\x00%s\x00%d\x00", who, change.Name, change.ExpectedVersion) // a hash takes any write
	_, _ = hash.Write(change.Yaml)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// currentSubtree reads a subtree and gives the client to change it with: the
// fleet's secret when the fleet has no operators yet.
func (a *app) currentSubtree(name string) (*operator.Client, *pb.SubtreeDocument, error) {
	client, err := a.connection.client()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	document, err := a.readSubtree(client, name)
	if !isUnauthorised(err) || a.connection.secretFile == "" {
		return client, document, trace.Wrap(err)
	}
	if name != settings.FleetSubtree {
		document, err = a.awaitOperators(client, name)
		return client, document, trace.Wrap(err)
	}
	bootstrap, err := a.connection.bootstrapClient()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	document, err = a.readSubtree(bootstrap, name)
	return bootstrap, document, trace.Wrap(err)
}

// Bounds of the wait for a first fleet subtree to reach the instance asked.
const (
	operatorsWait = 10 * time.Second
	operatorsPoll = 50 * time.Millisecond
)

// awaitOperators asks until the operator's key is known: right after the first
// fleet subtree was accepted, the instance asked may not have applied it yet.
func (a *app) awaitOperators(client *operator.Client, name string) (*pb.SubtreeDocument, error) {
	deadline := time.NewTimer(operatorsWait)
	defer deadline.Stop()
	poll := time.NewTicker(operatorsPoll)
	defer poll.Stop()
	for {
		document, err := a.readSubtree(client, name)
		if !isUnauthorised(err) {
			return document, trace.Wrap(err)
		}
		select {
		case <-poll.C:
		case <-deadline.C:
			return nil, trace.Wrap(err)
		case <-a.ctx.Done():
			return nil, trace.Wrap(a.ctx.Err())
		}
	}
}

func isUnauthorised(err error) bool {
	var refused *operator.ReplyError
	return errors.As(err, &refused) && refused.Status == http.StatusUnauthorized
}

// readSubtree gives nil for a subtree that doesn't exist.
func (a *app) readSubtree(client *operator.Client, name string) (*pb.SubtreeDocument, error) {
	reply, err := client.GetSettings(a.ctx, &pb.GetSettingsRequest{Name: name})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, document := range reply.GetDocuments() {
		if document.GetName() == name {
			return document, nil
		}
	}
	return nil, nil
}

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
