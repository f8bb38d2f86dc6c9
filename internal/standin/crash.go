package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
)

const auditMode = 0o600

// crashByFault ends the process if Faults.Crash says so, without a word to
// anyone, as a kill would. The audit is written before, and the lock is kept
// from then on, so that what the file says is all that this process ever did:
// after a kill from outside nobody could tell wasted work from used work.
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

// writeAudit writes the whole file or none. mu is held.
func (s *Standin) writeAudit() error {
	if s.options.AuditFolder == "" {
		return nil
	}
	body, err := json.Marshal(s.auditNow())
	if err != nil {
		return err
	}
	name := filepath.Join(s.options.AuditFolder, fmt.Sprintf("%s-%d.json", s.options.ID, s.options.Incarnation))
	if err := os.WriteFile(name+".partial", body, auditMode); err != nil {
		return err
	}
	return os.Rename(name+".partial", name)
}
