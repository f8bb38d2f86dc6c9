package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
)

const auditFileMode = 0o600

// crashByFault ends the process if Faults.Crash is set, without notice to clients
// or daemons, as a kill would. It writes the audit first and keeps mu locked from
// then on, so that the file covers all that this process did. After a kill from
// outside, wasted and used work couldn't be distinguished.
func (s *Standin) crashByFault() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Crash {
		return
	}
	if err := s.writeAudit(); err != nil {
		s.options.Part.Error("audit not written", "err", err)
	}
	s.options.Exit(crashCode)
	panic(http.ErrAbortHandler)
}

// writeAudit writes the audit file atomically. mu is held.
func (s *Standin) writeAudit() error {
	if s.options.AuditDir == "" {
		return nil
	}
	body, err := json.Marshal(s.auditLocked())
	if err != nil {
		return err
	}
	name := filepath.Join(s.options.AuditDir, fmt.Sprintf("%s-%d.json", s.options.ID, s.options.Incarnation))
	if err := os.WriteFile(name+".partial", body, auditFileMode); err != nil {
		return err
	}
	return os.Rename(name+".partial", name)
}
