package responsehead

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serve answers each request by a function, with the request's body unread, and closes the connection.
func serve(t *testing.T, answer func(c *net.TCPConn, r *http.Request)) (url string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: Transport{Base: &http.Transport{}}}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// post sends a body and returns the whole response.
func post(t *testing.T, client *http.Client, url string, body []byte) (status int, answer string, err error) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	assert.NilError(t, err)
	request.ContentLength = int64(len(body))
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against bytes that are no answer in the protocol and are taken for one by the clients of
// engines, daemons and entries.
func TestMalformedResponsesAreErrors(t *testing.T) {
	for name, row := range map[string]struct {
		text string
		ok   bool
	}{
		"status 000":                {text: "HTTP/1.1 000 Oops\r\nContent-Length: 2\r\n\r\nok"},
		"status 099":                {text: "HTTP/1.1 099 Oops\r\nContent-Length: 2\r\n\r\nok"},
		"status 101":                {text: "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nok"},
		"status 999":                {text: "HTTP/1.1 999 Oops\r\nContent-Length: 2\r\n\r\nok"},
		"blank before a colon":      {text: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok"},
		"blank in a name":           {text: "HTTP/1.1 200 OK\r\nFoo Bar: x\r\nContent-Length: 2\r\n\r\nok"},
		"chunks under HTTP/1.0":     {text: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"blank in a trailer's name": {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nFoo Bar: x\r\n\r\n"},
		"a length":                  {text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ok: true},
		"chunks":                    {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nFoo: x\r\n\r\n", ok: true},
		"neither":                   {text: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", ok: true},
		"HTTP/1.0 with a length":    {text: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			url := serve(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the connection may have ended
				_, _ = io.WriteString(c, row.text)
			})
			status, answer, err := post(t, newClient(t), url, []byte("body"))
			if row.ok {
				assert.NilError(t, err)
				assert.Equal(t, answer, "ok")
				return
			}
			assert.Assert(t, err != nil, "%d %q", status, answer)
		})
	}
}

// Guards against a part of an answer that passes as all of it, as the connection was reset while the
// request was being written.
func TestResponseResetUnderAnUploadIsCut(t *testing.T) {
	url := serve(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	client, whole := newClient(t), 0
	for range 40 {
		if _, _, err := post(t, client, url, make([]byte, 16<<20)); err == nil {
			whole++
		}
	}
	assert.Equal(t, whole, 0, "of 40 that were cut came as whole")
}

// Guards against a whole answer that is taken for a cut one, as its request was an upload.
func TestResponseAfterAnUploadIsWhole(t *testing.T) {
	url := serve(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the connection may have ended
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it")
	})
	for range 10 {
		_, answer, err := post(t, newClient(t), url, make([]byte, 4<<20))
		assert.NilError(t, err)
		assert.Equal(t, answer, "all of it")
	}
}
