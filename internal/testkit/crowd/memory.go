package crowd

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryPoll is the time between two looks at the memory of processes.
	memoryPoll = 50 * time.Millisecond
	// socketPolls is how many looks pass between two at their sockets, which take the kernel long.
	socketPolls = 4
)

// Process is a process that serves a crowd.
type Process struct {
	Name  string
	PID   int
	IPs   []string // of its sockets, which no other process uses
	Bytes int64    // memory of its instance
	Stop  func()   // called when it uses more
}

// Use is the memory of a process.
type Use struct {
	Resident int64 // bytes
	Unread   int64 // bytes that have arrived on its sockets and were not read
	Unsent   int64 // bytes that it has written and that haven't arrived
	Sockets  int
}

// addSockets adds what the kernel holds for sockets.
func (u *Use) addSockets(other Use) {
	u.Unread += other.Unread
	u.Unsent += other.Unsent
	u.Sockets += other.Sockets
}

// Total returns all that counts as the process's memory, bytes.
func (u Use) Total() int64 { return u.Resident + u.Unread + u.Unsent }

// String returns the parts in MB.
func (u Use) String() string {
	return fmt.Sprintf("%d MB (resident %d, unread %d, unsent %d, %d sockets)", u.Total()>>20, u.Resident>>20, u.Unread>>20, u.Unsent>>20, u.Sockets)
}

// Watch watches the memory of processes.
type Watch struct {
	processes []Process
	done      chan struct{}
	ended     sync.WaitGroup

	mu   sync.Mutex // guards the fields below
	peak map[string]Use
	over []string
}

// StartWatch looks at the memory of processes until Stop. One that uses more than its instance has
// is stopped.
func StartWatch(processes []Process) *Watch {
	w := &Watch{processes: processes, done: make(chan struct{}), peak: map[string]Use{}}
	w.ended.Go(w.run)
	return w
}

// Stop ends the watch, and returns the peak of each process by name, and what went over its memory.
func (w *Watch) Stop() (peak map[string]Use, over []string) {
	close(w.done)
	w.ended.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak, w.over
}

func (w *Watch) run() {
	stopped := map[string]bool{}
	var sockets map[string]Use
	for n := 0; ; n++ {
		if n%socketPolls == 0 {
			sockets = readSockets()
		}
		for _, p := range w.processes {
			use := Use{Resident: residentBytes(p.PID)}
			for _, ip := range p.IPs {
				use.addSockets(sockets[ip])
			}
			w.record(p, use)
			if use.Total() > p.Bytes && !stopped[p.Name] {
				stopped[p.Name] = true
				p.Stop()
			}
		}
		select {
		case <-w.done:
			return
		case <-time.After(memoryPoll):
		}
	}
}

func (w *Watch) record(p Process, use Use) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if use.Total() > w.peak[p.Name].Total() {
		w.peak[p.Name] = use
	}
	if use.Total() > p.Bytes {
		w.over = append(w.over, fmt.Sprintf("%s: %s, its instance has %d MB", p.Name, use, p.Bytes>>20))
	}
}

// residentBytes returns the resident memory of a process, bytes; 0 if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// readSockets returns what the kernel holds for sockets, by their local address.
func readSockets() map[string]Use {
	uses := map[string]Use{}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return uses
	}
	defer func() { _ = file.Close() }() // it was only read
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.Contains(fields[1], ":") {
			continue // the heading
		}
		ip := addressOf(fields[1])
		unsent, unread, _ := strings.Cut(fields[4], ":")
		use := uses[ip]
		const listening = "0A"
		if fields[3] != listening {
			use.Unread += hexBytes(unread)
			use.Unsent += hexBytes(unsent)
			use.Sockets++
		}
		uses[ip] = use
	}
	return uses
}

// addressOf returns the IP number of a socket as the kernel prints it.
func addressOf(text string) string {
	number, _, _ := strings.Cut(text, ":")
	n, err := strconv.ParseUint(number, 16, 32)
	if err != nil {
		return ""
	}
	return net.IPv4(byte(n), byte(n>>8), byte(n>>16), byte(n>>24)).String()
}

func hexBytes(text string) int64 {
	n, err := strconv.ParseInt(text, 16, 64)
	if err != nil {
		return 0
	}
	return n
}
