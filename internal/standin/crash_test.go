package standin_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// An engine process exits in the middle of a prefill, like a killed one. Its record
// is only in memory: unless the audit is written first, all its work would count as
// wasted.
func TestCrashFaultLeavesTheAudit(t *testing.T) {
	folder := t.TempDir()
	codes := make(chan int, 1)
	timing := fastTiming()
	timing.PrefillBase = time.Hour
	p := start(t, standin.Options{
		ID: "prefill", Incarnation: 5, Role: fleet.RolePrefill, Timing: timing, AuditDir: folder,
		Exit: func(code int) { codes <- code },
	})
	f := newFlow(p, p, "[[id=one]] text")
	_ = f.inBackground((*flow).runPrefill)
	eventually(t, "prefill runs", func() bool { return len(p.Held()) == 1 })
	response, err := http.Post("http://"+p.Address()+"/faults", "application/json", strings.NewReader(`{"crash":true}`))
	if err == nil {
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil, "a process that ends answers nothing")
	assert.Equal(t, <-codes, 3)
	body, err := os.ReadFile(filepath.Join(folder, "prefill-5.json"))
	assert.NilError(t, err)
	var a standin.Audit
	assert.NilError(t, json.Unmarshal(body, &a))
	assert.Equal(t, a.Incarnation, fleet.Incarnation(5))
	assert.Equal(t, len(a.Attempts), 1)
	assert.Equal(t, a.Attempts[0].Marker, "one")
}
