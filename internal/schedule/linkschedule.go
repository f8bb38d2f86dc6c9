package schedule

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// maxBookings bounds the transfers booked on one link. When it is reached, Book
// still predicts a transfer's end but doesn't record the transfer.
const maxBookings = 1024

// Correction of a link's rate by observed transfers.
const (
	minRateFactor = 0.05
	rateWindow    = 16.0 // approximate number of transfers in the moving average
)

// LinkSchedule predicts when a transfer over one link of limited rate completes,
// given the transfers already booked. Transfers are sequential, and a short one
// may use a gap before a later one. Only this daemon's bookings are known; the
// traffic of other daemons shows in the observed transfer times, which correct
// the rate. It reads no clock and is not safe for concurrent use.
type LinkSchedule struct {
	rate       float64 // declared rate in bytes per second
	rateFactor float64 // observed fraction of rate
	delay      time.Duration
	bookings   []booking // sorted by start
}

type booking struct {
	attempt    fleet.AttemptID
	start, end time.Time
}

// NewLinkSchedule returns the schedule of a link with a rate in bytes per
// second; 0 means unlimited.
func NewLinkSchedule(rate float64, delay time.Duration) *LinkSchedule {
	return &LinkSchedule{rate: rate, rateFactor: 1, delay: delay}
}

// Predict returns the time from readyAt until a transfer of the given size
// completes.
func (l *LinkSchedule) Predict(now, readyAt time.Time, bytes int64) time.Duration {
	l.expire(now)
	start, _ := l.firstGap(readyAt, l.transferTime(bytes))
	return start.Sub(readyAt) + l.transferTime(bytes) + l.delay
}

// Book reserves the link for a transfer and returns when it will complete.
// Booking the same attempt again replaces its earlier booking.
func (l *LinkSchedule) Book(now, readyAt time.Time, attempt fleet.AttemptID, bytes int64) time.Time {
	l.Release(attempt)
	l.expire(now)
	length := l.transferTime(bytes)
	start, at := l.firstGap(readyAt, length)
	if len(l.bookings) < maxBookings {
		l.bookings = slices.Insert(l.bookings, at, booking{attempt: attempt, start: start, end: start.Add(length)})
	}
	return start.Add(length + l.delay)
}

// Release removes an attempt's booking.
func (l *LinkSchedule) Release(attempt fleet.AttemptID) {
	l.bookings = slices.DeleteFunc(l.bookings, func(b booking) bool { return b.attempt == attempt })
}

// Observe corrects the rate by a completed transfer; took is measured from its
// start.
func (l *LinkSchedule) Observe(bytes int64, took time.Duration) {
	moving := took - l.delay
	if l.rate <= 0 || bytes <= 0 || moving <= 0 {
		return
	}
	observed := float64(bytes) / moving.Seconds() / l.rate
	observed = min(max(observed, minRateFactor), 1)
	l.rateFactor += (observed - l.rateFactor) / rateWindow
}

func (l *LinkSchedule) transferTime(bytes int64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (l.rate * l.rateFactor) * float64(time.Second))
}

// firstGap returns the first start at or after readyAt with a gap of the given
// length, and the index in bookings at which to insert it.
func (l *LinkSchedule) firstGap(readyAt time.Time, length time.Duration) (start time.Time, at int) {
	start = readyAt
	for n, b := range l.bookings {
		if !start.Add(length).After(b.start) {
			return start, n
		}
		if b.end.After(start) {
			start = b.end
		}
	}
	return start, len(l.bookings)
}

func (l *LinkSchedule) expire(now time.Time) {
	l.bookings = slices.DeleteFunc(l.bookings, func(b booking) bool { return !b.end.After(now) })
}
