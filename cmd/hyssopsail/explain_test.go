package main

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const refusedLine = `ts=2026-01-29T00:18:10Z level=info msg="relay: Refused." request=aa verdict=not-run reason="no endpoint can take it" endpoint= sends=0 runs=0 took_ms=652 err=null left_by=null` + "\n"

func TestExplain(t *testing.T) {
	f := newFixture(t)
	log := f.file("edge-1.log", refusedLine)
	out := f.ok("explain", "--request", "aa", log)
	assert.Assert(t, cmp.Contains(out, "request aa: refused (not-run) after 652 ms"))
	assert.Assert(t, cmp.Contains(out, "at edge-1:"))
	var story struct{ Decisions []struct{ Process string } }
	assert.NilError(t, json.Unmarshal([]byte(f.ok("explain", "-o", "json", "--request", "aa", log)), &story))
	assert.Equal(t, story.Decisions[0].Process, "edge-1")
	code, _, errOut := f.run("explain", "--request", "bb", log)
	assert.Assert(t, code != exitOK)
	assert.Assert(t, cmp.Contains(errOut, "none of 1 log lines names request bb"))
	code, _, _ = f.run("explain", "--request", "aa", log+"x")
	assert.Assert(t, code != exitOK)
}
