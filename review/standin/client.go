package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Names of the deployment.
const (
	host       = "ficu95.example"
	modelName  = "huvo11a"
	modelRoute = "/lohu930/"
	laterRoute = "/pufi791/" // the same service, and its streams may be resumed
)

// siteObjective is target_latency_ms of the small site's streams.
const siteObjective = 900 * time.Millisecond

// maxGap returns how long a client waits for the next event: the longest of 2 s, four times the
// route's objective and eight times its longest pause.
func maxGap(objective time.Duration) time.Duration {
	return max(2*time.Second, 4*objective, 8*300*time.Millisecond)
}

// siteConfig returns the configuration of the small site's model service, with routes of an objective.
func siteConfig(version int, objective time.Duration) map[string]any {
	route := func(name, prefix string, resumable bool, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "route_type": "streaming", "timeout_ms": 14000, "target_latency_ms": objective.Milliseconds(),
			"priority": 1, "service": modelName, "max_attempts": attempts, "session_affinity": true, "resumable": resumable, "itl_target_ms": 300,
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("r-once", modelRoute, false, 1), route("r-resumable", laterRoute, true, 2)},
		"services": []any{map[string]any{
			"name": modelName, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity": 39418, "kv_bytes": 327680, "link_mbps": 3400000.0, "moves": true, "backups": true, "stride": 16,
				"most": 12, "kv_hold_s": 0.5, "switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// stream is what a client got for one request.
type stream struct {
	id       string
	status   int
	events   []int // their IDs, in order
	expected int
	foreign  bool  // an event of another request, or bytes that are no event
	err      error // nil if the answer ended as complete
}

// complete reports whether the client must take the answer for whole.
func (s *stream) complete() bool { return s.err == nil && s.status == http.StatusOK }

func (s *stream) lastEvent() int {
	if len(s.events) == 0 {
		return 0
	}
	return s.events[len(s.events)-1]
}

func (s *stream) String() string {
	return fmt.Sprintf("%s: status %d, %d of %d events, last %d, end: %v", s.id, s.status, len(s.events), s.expected, s.lastEvent(), s.err)
}

var eventPattern = regexp.MustCompile(`^id: (\d+)\ndata: (\S+) (\d+) of (\d+)$`)

// requestStream sends a model request to an entry over a new channel and reads its answer.
func requestStream(entry, prefix, id string, objective time.Duration, prompt, output int) *stream {
	result := &stream{id: id, expected: output}
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+prefix+"2f", strings.NewReader("bale "+id))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": id, "Model": "m", "Token-Count": fmt.Sprintf("%d,%d", prompt, output), "Length-Hint": strconv.Itoa(output),
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%s:%d", id, prompt-200), "Deadline-Ms": "14000",
	} {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }() // read whole
	result.status = response.StatusCode
	// A client leaves a stream after a gap of four times the objective, also before its first event.
	patience := time.AfterFunc(maxGap(objective), cancel)
	defer patience.Stop()
	var data []byte
	for buffer := make([]byte, 4<<10); result.err == nil; {
		n, err := response.Body.Read(buffer)
		data, result.err = append(data, buffer[:n]...), err
		patience.Reset(maxGap(objective))
	}
	if errors.Is(result.err, io.EOF) {
		result.err = nil
	}
	if response.StatusCode == http.StatusOK {
		result.parse(string(data))
	}
	return result
}

func (s *stream) parse(data string) {
	for part := range strings.SplitSeq(data, "\n\n") {
		if part == "" {
			continue
		}
		fields := eventPattern.FindStringSubmatch(part)
		if fields == nil || fields[2] != s.id || fields[1] != fields[3] {
			s.foreign = true
			continue
		}
		n, _ := strconv.Atoi(fields[1])
		s.events = append(s.events, n)
	}
}
