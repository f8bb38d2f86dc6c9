package endpointlimit

import "time"

// maxRetryAfter bounds the delay after which an entry retries. The limit may rise meanwhile.
const maxRetryAfter = 5 * time.Second

// shareState is the state of a limit server's share of one endpoint's limit.
type shareState struct {
	limit       KnownLimit
	bucket      TokenBucket
	lastRequest time.Time
	// deniedInRow counts the denials since the last permit. Each denied entry gets a later
	// retry time, so that hundreds of entries don't retry for the same permit.
	deniedInRow int
}

// newShareState returns the state at a limit server that started at startedAt and has granted
// no permit for the endpoint that it knows of since then.
func newShareState(now, startedAt time.Time, limit KnownLimit, share Share) *shareState {
	s := &shareState{limit: limit}
	s.fill(startedAt, share)
	s.fill(now, share)
	return s
}

func (s *shareState) fill(now time.Time, share Share) {
	s.bucket.Fill(now, share.perSecond(s.limit), s.limit.PerSecond)
}

// take takes a permit for one request, or returns the delay until a retry.
func (s *shareState) take(share Share) (granted bool, retryAfter time.Duration) {
	if s.bucket.Take() {
		s.deniedInRow = 0
		return true, 0
	}
	retryAfter = s.bucket.WaitTime(share.perSecond(s.limit), s.deniedInRow, maxRetryAfter)
	s.deniedInRow++
	return false, retryAfter
}
