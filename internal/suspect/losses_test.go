package suspect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

var lossBegin = time.Unix(1_000_000, 0)

func lossAt(d time.Duration) time.Time { return lossBegin.Add(d) }

// sentAndLost returns a loss, after 1 ms, of a request that was sent at a time.
func sentAndLost(f byte, sent time.Duration) Loss {
	return Loss{Fingerprint: fleet.Fingerprint{f}, Sent: lossAt(sent), Ended: lossAt(sent + time.Millisecond), Exchange: sent.String(), Sequence: 1}
}

func (l *LossTracker) quarantines(now time.Time, f byte) bool {
	return l.Find(fleet.Fingerprint{f}).Quarantined(now, l.limits)
}

// Guards against a request that crashes one endpoint after another.
func TestThirdLossQuarantines(t *testing.T) {
	l := NewLossTracker(DefaultLimits)
	for n := range 3 {
		sent := time.Duration(n) * time.Second
		assert.Assert(t, !l.quarantines(lossAt(sent), 1))
		l.RecordLoss(lossAt(sent+time.Millisecond), sentAndLost(1, sent))
	}
	assert.Assert(t, l.quarantines(lossAt(3*time.Second), 1))
	assert.Assert(t, !l.quarantines(lossAt(3*time.Second), 2))
	assert.Assert(t, !l.quarantines(lossAt(2*time.Hour), 1))
}

// Guards against refusing a request that many callers send: it runs on many endpoints, of
// which several die at once.
func TestConcurrentLossesCountAsOne(t *testing.T) {
	l := NewLossTracker(DefaultLimits)
	for n := range 30 {
		loss := sentAndLost(1, time.Duration(n)*time.Millisecond)
		loss.Ended = lossAt(100 * time.Millisecond)
		l.RecordLoss(loss.Ended, loss)
	}
	assert.Equal(t, l.Find(fleet.Fingerprint{1}).Weight, crashWeight)
	second := Loss{Fingerprint: fleet.Fingerprint{1}, Sent: lossAt(0), Ended: lossAt(time.Second / 10), Exchange: "a", Sequence: 2}
	l.RecordLoss(lossAt(101*time.Millisecond), second)
	assert.Equal(t, l.Find(fleet.Fingerprint{1}).Weight, 2*crashWeight)
	l.RecordLoss(lossAt(time.Second), second)
	assert.Equal(t, l.Find(fleet.Fingerprint{1}).Weight, 2*crashWeight, "a repeated report counts once")
}

// Guards against refusing a harmless request whose answers get lost now and then.
func TestAnsweredRequestIsNotQuarantined(t *testing.T) {
	l := NewLossTracker(DefaultLimits)
	assert.Assert(t, !l.RecordAnswer(lossAt(0), fleet.Fingerprint{1}))
	l.RecordLoss(lossAt(0), sentAndLost(1, 0))
	l.RecordLoss(lossAt(time.Second), sentAndLost(1, time.Second))
	assert.Assert(t, l.RecordAnswer(lossAt(2*time.Second), fleet.Fingerprint{1}))
	for n := 3; n < 30; n++ {
		l.RecordLoss(lossAt(time.Duration(n)*time.Second), sentAndLost(1, time.Duration(n)*time.Second))
	}
	assert.Assert(t, !l.quarantines(lossAt(30*time.Second), 1))
	assert.Equal(t, l.SharedSince(0)[0].Proven, true)
}

// Guards against processes that each know too few losses to refuse a request.
func TestFindingsAreShared(t *testing.T) {
	board, entry := NewLossTracker(DefaultLimits), NewLossTracker(DefaultLimits)
	for n := range byte(100) {
		board.RecordLoss(lossAt(0), sentAndLost(n, 0))
	}
	assert.Equal(t, len(board.SharedSince(0)), 0, "one loss is too little to share")
	board.RecordLoss(lossAt(time.Second), sentAndLost(7, time.Second))
	seen := board.Revision()
	assert.Equal(t, len(board.SharedSince(0)), 1)
	assert.Equal(t, len(board.SharedSince(seen)), 0)
	for _, f := range board.SharedSince(0) {
		assert.Assert(t, entry.Merge(lossAt(time.Second), f))
		assert.Assert(t, !entry.Merge(lossAt(time.Second), f), "it is known already")
	}
	entry.RecordLoss(lossAt(2*time.Second), sentAndLost(7, 2*time.Second))
	assert.Assert(t, entry.quarantines(lossAt(2*time.Second), 7))
	entry.RecordAnswer(lossAt(3*time.Second), fleet.Fingerprint{7})
	assert.Assert(t, !entry.Merge(lossAt(4*time.Second), Finding{Fingerprint: fleet.Fingerprint{7}, Weight: 6, Updated: lossAt(4 * time.Second)}))
}

// Guards against unbounded memory when many endpoints die with all their requests, and against
// evicting a request that is known to crash endpoints.
func TestLossesAreBounded(t *testing.T) {
	limits := Limits{TTL: time.Hour, MaxTracked: 100}
	l := NewLossTracker(limits)
	for n := range 3 {
		l.RecordLoss(lossAt(time.Duration(n)*time.Second), sentAndLost(255, time.Duration(n)*time.Second))
	}
	for n := range 10_000 {
		f := fleet.Fingerprint{1, byte(n), byte(n >> 8)}
		l.RecordLoss(lossAt(time.Minute), Loss{Fingerprint: f, Sent: lossAt(time.Minute), Ended: lossAt(time.Minute)})
		assert.Assert(t, l.Len() <= limits.MaxTracked)
	}
	assert.Assert(t, l.quarantines(lossAt(time.Minute), 255))
	l.Sweep(lossAt(2 * time.Hour))
	assert.Equal(t, l.Len(), 0)
}

// Guards against a request that crashes endpoints whose other connections stay open, and
// against refusing a request too soon that has only lost a few answers.
func TestLossesAtSurvivingEndpointsCountHalf(t *testing.T) {
	l := NewLossTracker(DefaultLimits)
	for n := range 2 * MultiSuspectCrashes {
		assert.Assert(t, !l.quarantines(lossAt(time.Hour/2), 1), "after %d losses", n)
		loss := sentAndLost(1, time.Duration(n)*time.Second)
		loss.EndpointSurvived = true
		l.RecordLoss(loss.Sent.Add(time.Millisecond), loss)
	}
	assert.Assert(t, l.quarantines(lossAt(time.Minute), 1))
}

// Guards against ignoring runs that began after a loss and before its report, which may come
// a second later.
func TestLossesThatAreReportedLateCount(t *testing.T) {
	l := NewLossTracker(DefaultLimits)
	for n := range MultiSuspectCrashes {
		loss := sentAndLost(1, time.Duration(n)*100*time.Millisecond)
		l.RecordLoss(loss.Ended.Add(time.Second), loss)
	}
	assert.Assert(t, l.quarantines(lossAt(2*time.Second), 1))
}
