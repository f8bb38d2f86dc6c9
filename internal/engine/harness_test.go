package engine

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	dto "github.com/prometheus/client_model/go"
	"gotest.tools/v3/assert"
)

const (
	testAttempt     = fleet.AttemptID("0af1")
	testIncarnation = fleet.Incarnation(4)
)

func allowAll(Target) error { return nil }

func targetAt(address string) Target {
	return Target{ID: "engine-1", Incarnation: testIncarnation, Zone: "howrah", Address: address}
}

// serve runs an endpoint with the given handler.
func serve(t *testing.T, handler http.HandlerFunc) Target {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return targetAt(server.Listener.Addr().String())
}

func decodeRequest() engineapi.DecodeRequest {
	return engineapi.DecodeRequest{
		Work:      engineapi.Work{Attempt: testAttempt, Endpoint: "engine-1", Incarnation: testIncarnation},
		Prompt:    "prompt",
		MaxTokens: 10,
	}
}

// requestLog records the requests received over all connections.
type requestLog struct {
	mu    sync.Mutex
	lines []string
}

func (c *requestLog) add(line string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = append(c.lines, line)
	return len(c.lines)
}

func (c *requestLog) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.lines)
}

// closingServer answers the first request with body and keeps the connection
// open. On each later request it reads the header and closes the connection
// without an answer.
func closingServer(t *testing.T, body string) (Target, *requestLog) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	seen := &requestLog{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go closeAtSecondRequest(conn, seen, body)
		}
	}()
	return targetAt(listener.Addr().String()), seen
}

func closeAtSecondRequest(conn net.Conn, seen *requestLog, body string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || seen.add(request.Method+" "+request.URL.Path) > 1 {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func callerRequest(t *testing.T, method, url, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if body == "" {
		request.Body = http.NoBody
	}
	return request
}

// openStreams returns the value of the gauge of open streams.
func (c *HTTPClient) openStreams() float64 {
	var m dto.Metric
	if err := c.metrics.openStreams.Write(&m); err != nil {
		panic(err)
	}
	return m.GetGauge().GetValue()
}
