package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

func TestIdleTimerCountsWaitsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var after time.Duration
		timer := NewIdleTimer(10*time.Second, func() { after = time.Since(began) })
		for range 20 {
			time.Sleep(9 * time.Second)
			timer.EndWait()
			time.Sleep(30 * time.Second) // between two waits
			timer.BeginWait()
		}
		assert.Equal(t, after, time.Duration(0))
		began = time.Now()
		timer.SetLimit(3 * time.Second)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, after, 3*time.Second)
		timer.Close()
	})
}

func TestClosedIdleTimerDoesNotFire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := NewIdleTimer(time.Second, func() { t.Error("called") })
		timer.EndWait()
		time.Sleep(1500 * time.Millisecond)
		timer.BeginWait()
		timer.Close()
		time.Sleep(time.Minute)
	})
}

// A caller reads one token every ten seconds, while the whole answer has already
// been sent. That must not count as an idle engine: the rest of the answer would be
// run again on another endpoint.
func TestSlowReaderCausesNoIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go answerStream(far)
			return near, nil
		}})
		stream, err := client.Decode(t.Context(), targetAt("127.0.0.1:1"), allowAll, decodeRequest())
		assert.NilError(t, err)
		count := 0
		for ; err == nil; count++ {
			_, err = stream.Next()
			time.Sleep(10 * time.Second)
		}
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		assert.Equal(t, count, 4)
		assert.NilError(t, stream.Close())
		client.transport.CloseIdleConnections()
	})
}

func answerStream(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	for _, part := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: " + engineapi.EventStreamMediaType + "\r\nConnection: close\r\n\r\n",
		event(chunk(0, 1, "")), event(chunk(1, 1, "")), event(chunk(2, 1, engineapi.FinishStop)),
	} {
		_, _ = io.WriteString(conn, part) // blocks until it is read
	}
}
