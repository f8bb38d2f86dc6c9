package connguard

import "time"

// Work is an amount of processor time in units of about one small read, some 10 µs.
type Work float64

const (
	workPerRead    Work = 1
	workPerByte    Work = 1.0 / 1024
	workPerLine    Work = 1.0 / 8
	workPerRequest Work = 16 // beside what is read
	lightWork      Work = 64 // that a connection may do at once and still be light
	// lightWorkPerSec is what all light connections together may do, and maxLightWorkPerSec one
	// of them.
	lightWorkPerSec    Work = 10_000
	maxLightWorkPerSec Work = 256
)

// lightRate returns the work per second that one of some connections may do and still be light.
func lightRate(connections int) Work {
	return min(maxLightWorkPerSec, lightWorkPerSec/Work(max(1, connections)))
}

// meter measures the recent work that a connection causes.
type meter struct {
	level Work
	at    time.Time
}

// add adds work, and returns the level: all work, less what a light connection does in that time, which
// is rate per second.
func (m *meter) add(now time.Time, w, rate Work) Work {
	m.level = max(0, m.level-Work(now.Sub(m.at).Seconds())*rate) + w
	m.at = now
	return m.level
}

// workOf returns the work that a read with a number of lines causes.
func workOf(bytes, lines int) Work {
	return workPerRead + Work(bytes)*workPerByte + Work(lines)*workPerLine
}
