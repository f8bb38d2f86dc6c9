package schedule

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// maxBookings bounds the transfers booked on one link; above it, Book places a
// transfer after all others without keeping it.
const maxBookings = 1024

// The bounds within which observed transfers may correct a link's rate.
const (
	leastRateFactor = 0.05
	rateMemory      = 16.0 // transfers that weigh in the correction, about
)

// LinkSchedule predicts when a transfer over one link of limited rate would be
// done, with what is already booked. Transfers go one after another, and a
// short one may use a gap before a later one. It knows only this daemon's
// bookings; what others send shows in the observed times, which correct the
// rate. Pure; not safe for concurrent use.
type LinkSchedule struct {
	rate     float64 // bytes a second, as declared
	factor   float64 // observed share of rate
	delay    time.Duration
	bookings []booking // by start
}

type booking struct {
	attempt    fleet.AttemptID
	start, end time.Time
}

// NewLinkSchedule makes the schedule of a link with a rate in bytes a second;
// 0 means unlimited.
func NewLinkSchedule(rate float64, delay time.Duration) *LinkSchedule {
	return &LinkSchedule{rate: rate, factor: 1, delay: delay}
}

// Predict gives the time from readyAt until a transfer of so many bytes is
// done.
func (l *LinkSchedule) Predict(now, readyAt time.Time, bytes int64) time.Duration {
	l.expire(now)
	start, _ := l.gap(readyAt, l.length(bytes))
	return start.Sub(readyAt) + l.length(bytes) + l.delay
}

// Book takes room for a transfer and gives when it will be done. Booking an
// attempt again moves it.
func (l *LinkSchedule) Book(now, readyAt time.Time, attempt fleet.AttemptID, bytes int64) time.Time {
	l.Release(attempt)
	l.expire(now)
	length := l.length(bytes)
	start, at := l.gap(readyAt, length)
	if len(l.bookings) < maxBookings {
		l.bookings = slices.Insert(l.bookings, at, booking{attempt: attempt, start: start, end: start.Add(length)})
	}
	return start.Add(length + l.delay)
}

// Release gives an attempt's room back, after the transfer or in its place.
func (l *LinkSchedule) Release(attempt fleet.AttemptID) {
	l.bookings = slices.DeleteFunc(l.bookings, func(b booking) bool { return b.attempt == attempt })
}

// Observe corrects the rate by a transfer of so many bytes that took so long
// once it had begun.
func (l *LinkSchedule) Observe(bytes int64, took time.Duration) {
	moving := took - l.delay
	if l.rate <= 0 || bytes <= 0 || moving <= 0 {
		return
	}
	seen := float64(bytes) / moving.Seconds() / l.rate
	seen = min(max(seen, leastRateFactor), 1)
	l.factor += (seen - l.factor) / rateMemory
}

func (l *LinkSchedule) length(bytes int64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (l.rate * l.factor) * float64(time.Second))
}

// gap gives the first start at or after readyAt with room of so long, and the
// place in bookings where it goes.
func (l *LinkSchedule) gap(readyAt time.Time, length time.Duration) (start time.Time, at int) {
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
