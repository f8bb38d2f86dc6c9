package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const example = "../../examples/sutokatha"

// copyWithEdit copies an example file into the fixture's folder with one
// replacement and returns its path.
func (f *fixture) copyWithEdit(name, old, new string) string {
	f.t.Helper()
	data, err := os.ReadFile(filepath.Join(example, name))
	assert.NilError(f.t, err)
	assert.Assert(f.t, cmp.Contains(string(data), old))
	return f.file(filepath.Base(name), strings.Replace(string(data), old, new, 1))
}

func TestBootstrapAndApply(t *testing.T) {
	f := newFixture(t)
	f.ok("init", "--fleet-id", "f1", "--member", "a=127.0.0.1:1", "--member", "b=127.0.0.1:2")
	assert.Equal(t, len(f.group.initialised.Members), 2)
	out := f.ok("settings", "apply", example, "--wait", "1s")
	assert.Equal(t, strings.Count(out, resultAccepted), 4, out)
	out = f.ok("settings", "apply", example)
	assert.Equal(t, strings.Count(out, resultUnchanged), 4, out)
	assert.Assert(t, cmp.Contains(f.ok("settings", "get"), "teams/mill-dispatch"))
	assert.Equal(t, f.ok("settings", "diff", example), "")
}

// Guards against a lost reply: the leader commits a change and dies before it
// answers, and another operator changes the subtree meanwhile. When the first
// operator runs the command again, it must neither report a conflict with the
// accepted change nor apply it a second time, over the other operator's.
func TestLostReply(t *testing.T) {
	f := newFixture(t)
	f.ok("settings", "apply", example)
	edited := f.copyWithEdit("teams/sorting.yaml", "share: 4", "share: 5")
	f.group.repliesToLose = 1
	code, _, errOut := f.run("settings", "apply", edited, "--expect", "1")
	assert.Equal(t, code, exitNotReached, errOut)
	assert.Equal(t, f.group.machine.Tree().Versions["teams/sorting"], uint64(2))
	out := f.ok("settings", "apply", edited, "--expect", "1")
	assert.Assert(t, cmp.Contains(out, resultUnchanged))

	later := f.copyWithEdit("teams/sorting.yaml", "share: 4", "share: 6")
	f.ok("settings", "apply", later, "--expect", "2")
	edited = f.copyWithEdit("teams/sorting.yaml", "share: 4", "share: 5")
	out = f.ok("settings", "apply", edited, "--expect", "1")
	assert.Assert(t, cmp.Contains(out, resultRepeated))
	assert.Equal(t, f.group.machine.Tree().Versions["teams/sorting"], uint64(3))
	assert.Equal(t, f.group.machine.Tree().Teams["sorting"].Share, 6.0)
}

// Two operators edit version 1 of one subtree. The second must get a conflict
// that shows the newer version, and change nothing.
func TestConflict(t *testing.T) {
	f := newFixture(t)
	f.ok("settings", "apply", example)
	copies := filepath.Join(f.folder, "copies")
	f.ok("settings", "get", "--folder", copies)
	mine := filepath.Join(copies, "teams", "sorting.yaml")
	data, err := os.ReadFile(mine)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(data), "# hyssopsail version 1\n"))

	theirs := f.copyWithEdit("teams/sorting.yaml", "share: 4", "share: 6")
	f.ok("settings", "apply", theirs, "--expect", "1")
	assert.NilError(t, os.WriteFile(mine, []byte(strings.Replace(string(data), "share: 4", "share: 7", 1)), 0o600))
	code, _, errOut := f.run("settings", "apply", mine)
	assert.Equal(t, code, exitConflict)
	assert.Assert(t, cmp.Contains(errOut, "teams/sorting is at version 2 (by on-call,"))
	assert.Assert(t, cmp.Contains(errOut, "-share: 6\n+share: 7\n"))
	assert.Equal(t, f.group.machine.Tree().Teams["sorting"].Share, 6.0)

	// Without a version a file only creates.
	code, _, _ = f.run("settings", "apply", f.copyWithEdit("teams/sorting.yaml", "share: 4", "share: 8"))
	assert.Equal(t, code, exitConflict)
	f.ok("settings", "apply", mine, "--overwrite")
	assert.Equal(t, f.group.machine.Tree().Teams["sorting"].Share, 7.0)
}

// Guards against a file that stays refused: a team's file names a zone that the
// fleet lacks, and the zone is added. The control group answers a repeated change
// ID with its first refusal, so the file needs a new ID.
func TestRefusedFileIsAcceptedOnceCauseIsFixed(t *testing.T) {
	f := newFixture(t)
	f.ok("settings", "apply", example)
	team := f.copyWithEdit("teams/sorting.yaml", "durgapur]", "durgapur, siliguri]")
	code, _, errOut := f.run("settings", "apply", team, "--expect", "1")
	assert.Equal(t, code, exitRefused)
	assert.Assert(t, cmp.Contains(errOut, `permitted_zones[4]: availability zone "siliguri" is not declared`))
	fleet := f.copyWithEdit("fleet.yaml", "  - {name: durgapur, region: bengal}\n", "  - {name: durgapur, region: bengal}\n  - {name: siliguri, region: bengal}\n")
	f.ok("settings", "apply", fleet, "--expect", "1")
	f.ok("settings", "apply", team, "--expect", "1")
}

func TestHistoryAndRollback(t *testing.T) {
	f := newFixture(t)
	f.ok("settings", "apply", example)
	f.ok("settings", "apply", f.copyWithEdit("teams/sorting.yaml", "share: 4", "share: 9"), "--expect", "1")
	f.ok("settings", "rollback", "teams/sorting", "1")
	assert.Equal(t, f.group.machine.Tree().Versions["teams/sorting"], uint64(3))
	assert.Equal(t, f.group.machine.Tree().Teams["sorting"].Share, 4.0)
	var history []documentOutput
	assert.NilError(t, json.Unmarshal([]byte(f.ok("settings", "history", "teams/sorting", "-o", "json")), &history))
	assert.Equal(t, len(history), 3)
	code, _, errOut := f.run("settings", "rollback", "teams/sorting", "77")
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, cmp.Contains(errOut, "version 77 of teams/sorting is not kept"))
	f.ok("settings", "remove", "teams/sorting", "--expect", "3")
	_, ok := f.group.machine.Tree().Teams["sorting"]
	assert.Assert(t, !ok)
	f.ok("settings", "rollback", "teams/sorting", "3")
}

func TestWaitInForce(t *testing.T) {
	f := newFixture(t)
	f.group.pending = []string{"barasat-1"}
	code, out, errOut := f.run("settings", "apply", filepath.Join(example, "fleet.yaml"), "--wait", "2s")
	assert.Equal(t, code, exitNotInForce)
	assert.Assert(t, cmp.Contains(errOut, "fleet version 1 is accepted but not yet in force on [barasat-1] after 2s"))
	assert.Assert(t, cmp.Contains(out, "fleet"))
}

func TestScopes(t *testing.T) {
	f := newFixture(t)
	f.ok("settings", "apply", example)
	f.args = []string{"--address", f.address, "--key-file", f.file("lead.key", "example-sutokatha-volunteer-lead-key")}
	f.ok("settings", "apply", f.copyWithEdit("teams/volunteers.yaml", "share: 2", "share: 3"), "--expect", "1")
	for _, args := range [][]string{
		{"settings", "apply", f.copyWithEdit("teams/sorting.yaml", "share: 4", "share: 3"), "--expect", "1"},
		{"settings", "get", "fleet"},
		{"drain", "howrah-1"},
		{"control", "remove", "howrah-1"},
		{"timeline"},
	} {
		code, _, errOut := f.run(args...)
		assert.Equal(t, code, exitNotAllowed, "%v: %s", args, errOut)
		assert.Assert(t, cmp.Contains(errOut, "operator volunteer-lead may"))
	}
	assert.Assert(t, !strings.Contains(f.ok("settings", "get"), "fleet"))
	f.ok("timeline", "--team", "volunteers")
}

func TestOutputs(t *testing.T) {
	f := newFixture(t)
	f.ok("settings", "apply", example)
	assert.Assert(t, cmp.Contains(f.ok("status"), "entry,control  -        draining  0        1.5s ago"))
	assert.Assert(t, cmp.Contains(f.ok("status", "-o", "yaml"), "leader_instance: howrah-1"))
	var endpoints struct{ Endpoints []struct{ ID string } }
	assert.NilError(t, json.Unmarshal([]byte(f.ok("endpoints", "-o", "json")), &endpoints))
	assert.Equal(t, endpoints.Endpoints[0].ID, "decode-1")
	assert.Assert(t, cmp.Contains(f.ok("endpoints"), "19/20"))
	code, out, errOut := f.run("timeline", "--request", "r-1", "--since", "5m")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, cmp.Contains(out, "began 1970-01-01 00:00:01.000000"))
	assert.Assert(t, cmp.Contains(out, "0.000ms  howrah-1  request.received  █"))
	assert.Assert(t, cmp.Contains(out, "no answer from barasat-1"))
	assert.Assert(t, cmp.Contains(f.ok("timeline", "--team", "volunteers"), "00:00:01.000000  howrah-1  request.received  -        -        volunteers"))
	assert.Assert(t, cmp.Contains(errOut, "the time line is not whole: no answer from [barasat-1]"))
	f.ok("drain", "howrah-1")
	assert.Equal(t, f.group.drained, "howrah-1")
	f.ok("control", "add", "durgapur-2=10.0.0.1:7400")
	assert.Equal(t, f.group.member.Member.RpcAddress, "10.0.0.1:7400")
}

func TestExitCodes(t *testing.T) {
	f := newFixture(t)
	bad := f.copyWithEdit("fleet.yaml", "rate: 2GB/s", "rate: 2Gb")
	for _, row := range []struct {
		name string
		args []string
		code exitCode
		text string
	}{
		{"unknown command", []string{"frob"}, exitUsage, "see hyssopsail --help"},
		{"bad output", []string{"status", "-o", "xml"}, exitUsage, "enum value must be one of"},
		{"no address", []string{"--secret-file", f.args[3], "status"}, exitUsage, "give --address"},
		{"no key", []string{"--address", f.address, "status"}, exitUsage, "no key: give --key-file"},
		{"wrong key", []string{"--address", f.address, "--key-file", f.file("k", "x"), "status"}, exitNotAllowed, "no operator has this key"},
		{"nobody there", []string{"--address", "127.0.0.1:1", "--key-file", f.file("k", "x"), "status"}, exitNotReached, "127.0.0.1:1"},
		{"bad member", append(f.args, "init", "--fleet-id", "f", "--member", "a"), exitUsage, "is not ID=IP:PORT"},
		{"bad settings", []string{"settings", "check", bad}, exitRefused, bad + ":51: weight_store.rate:"},
		{"bad settings aren't sent", append(f.args, "settings", "apply", bad), exitRefused, bad + ":51: weight_store.rate:"},
		{"no such file", []string{"settings", "check", "nowhere.yaml"}, exitFailed, "no such file"},
		{"no experiment", []string{"load", "nowhere.yaml"}, exitFailed, "no such file"},
		{"no result", []string{"report", "nowhere.json"}, exitFailed, "no such file"},
		{"load by no file", []string{"load"}, exitUsage, "required argument 'file'"},
		{"help", []string{"status", "--help"}, exitOK, ""},
		{"version", []string{"version"}, exitOK, ""},
		{"completion", []string{"--completion-script-bash"}, exitOK, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			code, _, errOut := runTool(row.args...)
			assert.Equal(t, code, row.code, errOut)
			assert.Assert(t, cmp.Contains(errOut, row.text))
			assert.Assert(t, strings.Count(errOut, "\n") <= 1, errOut)
		})
	}
}

func TestCheckSaysWhatItCouldNotCheck(t *testing.T) {
	_, out, _ := runTool("settings", "check", filepath.Join(example, "teams", "sorting.yaml"))
	assert.Assert(t, cmp.Contains(out, "ok by itself"))
	_, out, _ = runTool("settings", "check", example)
	assert.Assert(t, !strings.Contains(out, "by itself"))
}

func TestHelpRunsNothing(t *testing.T) {
	f := newFixture(t)
	f.ok("settings", "apply", example)
	f.ok("drain", "howrah-1", "--help")
	f.ok("load", "nowhere.yaml", "--help")
	assert.Equal(t, f.group.drained, "")
}

func TestCertsAndKeys(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "keys")
	code, out, _ := runTool("certs", "--folder", folder, "a", "b")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, cmp.Contains(out, filepath.Join(folder, "b-key.pem")))
	code, _, errOut := runTool("certs", "--folder", folder, "a")
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, cmp.Contains(errOut, "is not overwritten"))
	_, out, _ = runTool("hash-key", "-o", "json")
	assert.Assert(t, cmp.Contains(out, `"hash": "sha256:`))
}
