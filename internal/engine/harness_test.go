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

func open(Target) error { return nil }

func targetAt(address string) Target {
	return Target{ID: "engine-1", Incarnation: testIncarnation, Zone: "howrah", Address: address}
}

// serve runs an endpoint made of one handler.
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

// tally counts the requests whose first line has come, over all connections.
type tally struct {
	mu    sync.Mutex
	lines []string
}

func (c *tally) add(line string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = append(c.lines, line)
	return len(c.lines)
}

func (c *tally) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.lines)
}

// closingServer answers the first request with body and keeps the connection;
// each later request makes it close the connection without an answer, once it
// has read the request's header.
func closingServer(t *testing.T, body string) (Target, *tally) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	seen := &tally{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go closeSecond(conn, seen, body)
		}
	}()
	return targetAt(listener.Addr().String()), seen
}

func closeSecond(conn net.Conn, seen *tally, body string) {
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

// openStreams gives the gauge's value.
func (c *HTTPClient) openStreams() float64 {
	var m dto.Metric
	if err := c.metrics.streams.Write(&m); err != nil {
		panic(err)
	}
	return m.GetGauge().GetValue()
}
