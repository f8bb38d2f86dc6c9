package main

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// settingsApply sends settings files to the fleet.
type settingsApply struct {
	app          *app
	path         string
	expectedFlag int64
	overwrite    bool
	changeID     string
	wait         time.Duration
	results      []applyResult
}

// expectNotGiven is the default of --expect.
const expectNotGiven = -1

func addSettingsApply(a *app, group *kingpin.CmdClause) {
	c := &settingsApply{app: a}
	command := group.Command("apply", "Change the subtrees of a file or a folder (fleet.yaml, teams/*.yaml), each by itself. "+
		"A change names the version that it began from: the first line that \"settings get\" writes, or --expect; without either it only creates. "+
		"When another change came first, nothing is changed and the newer version is shown.")
	command.Arg("path", "File or folder.").Required().StringVar(&c.path)
	command.Flag("expect", "Version that the edit began from; for one file.").Default(fmt.Sprint(expectNotGiven)).Int64Var(&c.expectedFlag)
	command.Flag("overwrite", "Take whatever version the fleet has now as the one to change.").BoolVar(&c.overwrite)
	command.Flag("change-id", "ID under which the change may be sent again; by default made of subtree, version and content.").StringVar(&c.changeID)
	addWait(command, &c.wait)
	command.Action(a.commandAction(c.run))
}

func (c *settingsApply) run() error {
	files, err := readSettings(c.path)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(files) > 1 && (c.expectedFlag != expectNotGiven || c.changeID != "") {
		return withExitCode(exitUsage, trace.BadParameter("--expect and --change-id are for one file"))
	}
	// All files are checked before the first is sent.
	if err := checkSettings(files); err != nil {
		return trace.Wrap(err)
	}
	return errors.Join(c.applyAll(files), c.app.showApplied(c.results))
}

// applyAll stops at the first file that isn't accepted. A file that is accepted
// but not in force in time doesn't stop the rest: it can't be undone.
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

func (c *settingsApply) applyFile(file settingsFile) (applyResult, error) {
	client, current, err := c.app.currentSubtree(file.subtree)
	if err != nil {
		return applyResult{}, trace.Wrap(err)
	}
	content := file.content()
	if len(current.GetYaml()) > 0 && bytes.Equal(current.GetYaml(), content) {
		return applyResult{Subtree: file.subtree, Result: resultUnchanged, Version: current.GetVersion()}, nil
	}
	change := &pb.ChangeSubtree{Name: file.subtree, ExpectedVersion: c.expectedVersion(file, current), Yaml: content, ChangeId: c.changeID}
	return c.app.sendChange(client, change, c.wait)
}

func (c *settingsApply) expectedVersion(file settingsFile, current *pb.SubtreeDocument) uint64 {
	switch {
	case c.expectedFlag != expectNotGiven:
		return uint64(c.expectedFlag)
	case c.overwrite:
		return current.GetVersion()
	}
	return file.version
}
