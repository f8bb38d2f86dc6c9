package connguard

import (
	"os"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// pipeProbe is a delayProbe by a pipe: the time from the writing of a byte until a goroutine that waits
// for it goes on. Timers don't show it: a busy process looks at them more often than at its
// connections. Only the time counts in which the process had the processor: where other processes take
// it, fewer requests here would help nobody.
type pipeProbe struct {
	once   sync.Once
	writer *os.File // nil if there is no pipe

	mu     sync.Mutex // guards the fields below
	sentAt time.Time
	used   time.Duration // processor time of the process then
	done   func(delay time.Duration)
}

// start implements delayProbe.
func (p *pipeProbe) start(done func(delay time.Duration)) {
	p.once.Do(p.open)
	p.mu.Lock()
	p.sentAt, p.used, p.done = time.Now(), processorTime(), done
	p.mu.Unlock()
	if p.writer == nil {
		return // nothing is measured: the pace stays
	}
	_, _ = p.writer.Write([]byte{0}) // the pipe is empty, so that it takes the byte
}

func (p *pipeProbe) open() {
	reader, writer, err := os.Pipe()
	if err != nil {
		return
	}
	p.writer = writer
	go p.run(reader)
}

// run reads bytes for as long as the process runs.
func (p *pipeProbe) run(reader *os.File) {
	one := make([]byte, 1)
	for {
		if _, err := reader.Read(one); err != nil {
			return
		}
		p.mu.Lock()
		delay, done := ownDelay(time.Since(p.sentAt), processorTime()-p.used, runtime.GOMAXPROCS(0)), p.done
		p.mu.Unlock()
		done(delay)
	}
}

// ownDelay returns the part of a delay that the process is the cause of, by the time that it used of a number
// of processors.
func ownDelay(delay, used time.Duration, processors int) time.Duration {
	return min(delay, used/time.Duration(processors))
}

// processorTime returns how long the process has used processors; 0 if it is not known.
func processorTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
