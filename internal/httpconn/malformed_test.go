package httpconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answering is an endpoint that answers each request with the same bytes, in which {id} stands for the
// request's ID, and closes the connection.
func answering(t *testing.T, text string) *scriptedEndpoint {
	return serve(t, func(s *scriptedEndpoint, _ int, c net.Conn) {
		if id, ok := s.read(bufio.NewReader(c)); ok {
			_, _ = io.WriteString(c, strings.ReplaceAll(text, "{id}", "Id: "+id+"\r\n"))
		}
	})
}

// Guards against bytes that are no answer in the protocol and reach the caller as one: a status that
// doesn't exist or that nobody asked for, fields whose names are none, or whose framing is ignored.
func TestMalformedAnswerIsNone(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":                       "HTTP/1.1 000 Oops\r\n{id}Content-Length: 2\r\n\r\nok",
		"status 099":                       "HTTP/1.1 099 Oops\r\n{id}Content-Length: 2\r\n\r\nok",
		"status +20":                       "HTTP/1.1 +20 Oops\r\n{id}Content-Length: 2\r\n\r\nok",
		"status 101":                       "HTTP/1.1 101 Switching\r\n{id}Upgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n{id}Content-Length: 2\r\n\r\nok",
		"status 000 before an answer":      "HTTP/1.1 000 Oops\r\n{id}\r\nHTTP/1.1 200 OK\r\n{id}Content-Length: 2\r\n\r\nok",
		"status 600":                       "HTTP/1.1 600 Oops\r\n{id}Content-Length: 2\r\n\r\nok",
		"status 999":                       "HTTP/1.1 999 Oops\r\n{id}Content-Length: 2\r\n\r\nok",
		"another protocol":                 "HTTP/2.0 200 OK\r\n{id}Content-Length: 2\r\n\r\nok",
		"blank before the colon of length": "HTTP/1.1 200 OK\r\n{id}Content-Length : 2\r\n\r\nok and more",
		"blank before that of chunks":      "HTTP/1.1 200 OK\r\n{id}Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank in a name":                  "HTTP/1.1 200 OK\r\n{id}Foo Bar: x\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a name":           "HTTP/1.1 200 OK\r\n{id}Foo\x01Bar: x\r\nContent-Length: 2\r\n\r\nok",
		"delete in a name":                 "HTTP/1.1 200 OK\r\n{id}Foo\x7f: x\r\nContent-Length: 2\r\n\r\nok",
		"byte beyond ASCII in a name":      "HTTP/1.1 200 OK\r\n{id}Foo\x80: x\r\nContent-Length: 2\r\n\r\nok",
		"no name":                          "HTTP/1.1 200 OK\r\n{id}: x\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a value":          "HTTP/1.1 200 OK\r\n{id}Foo: a\x01b\r\nContent-Length: 2\r\n\r\nok",
		"chunks under HTTP/1.0":            "HTTP/1.0 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks under HTTP/1.0, far down":  "HTTP/1.0 200 OK\r\n{id}" + strings.Repeat("A: b\r\n", 600) + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"malformed interim answer":         "HTTP/1.1 103 Hints\r\n{id}Foo Bar: x\r\n\r\nHTTP/1.1 200 OK\r\n{id}Content-Length: 2\r\n\r\nok",
		"blank in a trailer's name":        "HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nFoo Bar: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := sendAndRead(t, newTestPool(t), answering(t, text), "a")
			assert.Assert(t, err != nil, "it passed as %q", body)
		})
	}
}

// Guards against sound answers that are taken for malformed ones.
func TestUnusualAnswerIsOne(t *testing.T) {
	for name, text := range map[string]string{
		"interim answers":             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n{id}Link: x\r\n\r\nHTTP/1.1 200 OK\r\n{id}Content-Length: 2\r\n\r\nok",
		"no reason":                   "HTTP/1.1 200\r\n{id}Content-Length: 2\r\n\r\nok",
		"status 599":                  "HTTP/1.1 599 Odd\r\n{id}Content-Length: 2\r\n\r\nok",
		"all bytes of a token":        "HTTP/1.1 200 OK\r\n{id}A!#$%&'*+-.^_`|~z: x\r\nContent-Length: 2\r\n\r\nok",
		"neither a length nor chunks": "HTTP/1.1 200 OK\r\n{id}Connection: close\r\n\r\nok",
		"HTTP/1.0 without a length":   "HTTP/1.0 200 OK\r\n{id}Content-Type: text/plain\r\n\r\nok",
		"HTTP/1.0 with a length":      "HTTP/1.0 200 OK\r\n{id}Content-Length: 2\r\n\r\nok",
		"a trailer":                   "HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nFoo: x\r\n\r\n",
		"a value beyond ASCII":        "HTTP/1.1 200 OK\r\n{id}Foo: \xe4\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := sendAndRead(t, newTestPool(t), answering(t, text), "a")
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
		})
	}
}

// upload is a request whose body no endpoint takes at once.
func upload(id string) *Request {
	r := request(id)
	r.Body = make([]byte, 16<<20)
	return r
}

// uploadAndRead sends an upload and reads its whole response body.
func uploadAndRead(t *testing.T, p *Pool, s *scriptedEndpoint, id string) (string, error) {
	response, err := p.Do(t.Context(), s.address(), upload(id), true)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// Guards against a part of an answer that passes as all of it: the endpoint answers an upload at once,
// without a length, and resets the connection while the upload is being written.
func TestAnswerResetUnderAnUploadIsCut(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"reset":               func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"closed":              func(*net.TCPConn) {},
		"reset after a pause": func(c *net.TCPConn) { time.Sleep(5 * time.Millisecond); _ = c.SetLinger(0) },
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ *scriptedEndpoint, _ int, c net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\npart", r.Header.Get("Id"))
				end(c.(*net.TCPConn))
			})
			p := newTestPool(t)
			whole := 0
			for n := range 60 {
				if _, err := uploadAndRead(t, p, s, fmt.Sprint(n)); err == nil {
					whole++
				}
			}
			assert.Equal(t, whole, 0, "of 60 that were cut came as whole")
		})
	}
}

// Guards against a whole answer that is taken for a cut one, as its request was an upload.
func TestAnswerAfterAnUploadIsWhole(t *testing.T) {
	s := serve(t, func(s *scriptedEndpoint, _ int, c net.Conn) {
		if id, ok := s.read(bufio.NewReader(c)); ok {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\nall of it", id)
		}
	})
	p := newTestPool(t)
	for n := range 10 {
		body, err := uploadAndRead(t, p, s, fmt.Sprint(n))
		assert.NilError(t, err)
		assert.Equal(t, body, "all of it")
	}
}
