package standin

import (
	"encoding/json"
	"net/http"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// ChunkFault is a kind of wrong chunk to inject into a stream.
type ChunkFault string

// The kinds of wrong chunks.
const (
	ChunkWrongAttempt       ChunkFault = "crossed" // another attempt's ID
	ChunkEarlierIncarnation ChunkFault = "stale"   // an earlier incarnation
	ChunkMissingTokens      ChunkFault = "gap"     // a chunk left out
	ChunkRepeatedToken      ChunkFault = "repeat"  // one token sent twice
	ChunkTruncated          ChunkFault = "cut"     // connection closed inside a chunk
)

// Faults are the faults to inject into an endpoint; the zero value injects none.
type Faults struct {
	StallTransfers        bool       `json:"stall_transfers"` // KV transfers stop
	StepSlowdown          float64    `json:"slow"`            // factor on the duration of each step; 0: 1
	Freeze                bool       `json:"freeze"`          // all processing stops, connections stay open
	IgnoreCancels         int        `json:"ignore_cancels"`  // number of next cancels to lose
	DropCacheEventBatches int        `json:"cache_gaps"`      // number of next batches of cache events to lose
	LoadLagMs             int64      `json:"load_lag_ms"`     // 0: Timing.LoadReportDelay
	ChunkFault            ChunkFault `json:"chunk_fault"`     // in the next stream
	FailCalls             bool       `json:"fail_calls"`      // plain calls run, then get status 500
	AbortCalls            bool       `json:"cut_calls"`       // plain calls run, then the connection is closed
	HangCalls             bool       `json:"hang_calls"`      // plain calls run, but never get an answer
	CallDelayMs           int64      `json:"call_delay_ms"`   // added to each plain call
	Crash                 bool       `json:"crash"`           // the process writes its audit and exits at once
}

// SetFaults replaces all faults.
func (s *Standin) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(f)
}

func (s *Standin) setFaults(f Faults) {
	if s.faults.Freeze && !f.Freeze {
		close(s.unfrozen)
	}
	if !s.faults.Freeze && f.Freeze {
		s.unfrozen = make(chan struct{})
	}
	s.faults = f
	s.wakeBatch()
}

// Faults returns the present faults.
func (s *Standin) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// serveFaults answers with the faults. A POST first sets those that its body names
// and leaves the others unchanged.
func (s *Standin) serveFaults(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if r.Method == http.MethodPost {
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f)
		if err != nil {
			refuse(w, refusal{engineapi.CodeBadRequest, err.Error()})
			return
		}
		s.SetFaults(f)
		s.crashByFault()
	}
	reply(w, f)
}

// waitWhileFrozen returns when the endpoint isn't frozen or done is closed. waited
// reports whether it was frozen.
func (s *Standin) waitWhileFrozen(done <-chan struct{}) (waited bool) {
	for ; ; waited = true {
		s.mu.Lock()
		frozen, thawed := s.faults.Freeze, s.unfrozen
		s.mu.Unlock()
		if !frozen {
			return waited
		}
		select {
		case <-thawed:
		case <-done:
			return true
		}
	}
}
