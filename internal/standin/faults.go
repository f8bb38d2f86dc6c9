package standin

import (
	"encoding/json"
	"net/http"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// ChunkFault is a wrong chunk that a stream is made to hold.
type ChunkFault string

// The wrong chunks.
const (
	ChunkCrossed ChunkFault = "crossed" // another attempt's ID
	ChunkStale   ChunkFault = "stale"   // an earlier incarnation
	ChunkGap     ChunkFault = "gap"     // one token left out
	ChunkRepeat  ChunkFault = "repeat"  // one token given twice
	ChunkCut     ChunkFault = "cut"     // connection closed inside a chunk
)

// Faults are the switches of an endpoint; the zero Faults is a healthy one.
type Faults struct {
	StallTransfers bool       `json:"stall_transfers"` // KV is sent no further
	Slow           float64    `json:"slow"`            // each step takes so many times longer; 0: 1
	Freeze         bool       `json:"freeze"`          // nothing moves, connections stay open
	IgnoreCancels  int        `json:"ignore_cancels"`  // the next so many cancels are lost
	CacheGaps      int        `json:"cache_gaps"`      // the next so many batches of cache events are lost
	LoadLagMs      int64      `json:"load_lag_ms"`     // 0: Timing.LoadLag
	ChunkFault     ChunkFault `json:"chunk_fault"`     // in the next stream
	FailCalls      bool       `json:"fail_calls"`      // plain calls run, then answer 500
	CutCalls       bool       `json:"cut_calls"`       // plain calls run, then the connection ends
	HangCalls      bool       `json:"hang_calls"`      // plain calls run, and never answer
	CallDelayMs    int64      `json:"call_delay_ms"`   // added to each plain call
	Crash          bool       `json:"crash"`           // the process ends at once, after its audit was written
}

// SetFaults replaces all switches.
func (s *Standin) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(f)
}

func (s *Standin) setFaults(f Faults) {
	if s.faults.Freeze && !f.Freeze {
		close(s.thawed)
	}
	if !s.faults.Freeze && f.Freeze {
		s.thawed = make(chan struct{})
	}
	s.faults = f
	s.wakeBatch()
}

// Faults gives the switches as they are now.
func (s *Standin) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// serveFaults takes a part of Faults and leaves the other switches alone.
func (s *Standin) serveFaults(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if r.Method == http.MethodPost {
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&f)
		if err != nil {
			refuse(w, refusal{engineapi.CodeBadRequest, err.Error()})
			return
		}
		s.SetFaults(f)
		s.crashByFault()
	}
	reply(w, f)
}

// waitThaw returns when the endpoint isn't frozen, or done is closed; waited
// tells whether it was frozen.
func (s *Standin) waitThaw(done <-chan struct{}) (waited bool) {
	for ; ; waited = true {
		s.mu.Lock()
		frozen, thawed := s.faults.Freeze, s.thawed
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
