package load

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// readCrashedAudits reads the audits that crashed endpoints have left in a folder.
// Files that can't be read are skipped, like endpoints that don't respond.
func readCrashedAudits(folder string) []endpointAudit {
	if folder == "" {
		return nil
	}
	names, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil
	}
	var out []endpointAudit
	for _, name := range names {
		body, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		var a endpointAudit
		if json.Unmarshal(body, &a) != nil {
			continue
		}
		// The memory was released when the process ended.
		a.Held = 0
		out = append(out, a)
	}
	return out
}
