package load

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// A decode engine crashes during a run. Without the audit that it left, prefill work
// whose decode ran there would count as wasted, and an answer that was decoded there
// and again elsewhere wouldn't count as doubled.
func TestCrashedEndpointAuditsAreCounted(t *testing.T) {
	folder := t.TempDir()
	write := func(name, body string) {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), []byte(body), 0o600))
	}
	write("decode-0-7.json", `{"endpoint":"decode-0","incarnation":7,"held":3,"attempts":[
		{"attempt_id":"a","marker":"run-notes-1","decodes":1,"finish":"stop"}]}`)
	write("decode-1-7.json.partial", `{"endpoint":"decode-1"}`)
	write("torn.json", `{"endpoint":`)
	alive := []endpointAudit{
		{Endpoint: "prefill-0", Attempts: []auditAttempt{
			{Attempt: "a", Marker: "run-notes-1", Prefills: 1, PrefillMs: 100},
			{Attempt: "b", Marker: "run-notes-2", Prefills: 1, PrefillMs: 300}}},
		{Endpoint: "decode-1", Attempts: []auditAttempt{{Attempt: "c", Marker: "run-notes-1", Decodes: 1, Finish: "stop"}}},
	}
	notes := newTally(&Stream{Name: "notes", Model: "m"})
	without := auditResult("run", nil, alive, []*tally{notes})
	assert.Equal(t, without.WastedPrefillMs, 400.0)
	assert.Equal(t, without.Doubled, 0)
	with := auditResult("run", nil, append(alive, readCrashedAudits(folder)...), []*tally{notes})
	assert.Equal(t, with.Endpoints, 3)
	assert.Equal(t, with.WastedPrefillMs, 300.0)
	assert.Equal(t, with.Doubled, 1)
	assert.Equal(t, with.StillHeld, 0, "the memory was released with the process")
	assert.Equal(t, len(readCrashedAudits("")), 0)
}
