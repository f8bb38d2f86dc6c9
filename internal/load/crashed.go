package load

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// crashedAudits reads the audits that crashed endpoints have left in a folder.
// A file that can't be read is left out, as is an endpoint that doesn't answer.
func crashedAudits(folder string) []endpointAudit {
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
		// Its memory went with the process.
		a.Held = 0
		out = append(out, a)
	}
	return out
}
