package httpconn

import (
	"bytes"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/responsehead"
)

// parseHead reads a head, which must be well-formed.
func (c *conn) parseHead(request *http.Request) (*http.Response, error) {
	if err := c.checkVersion(); err != nil {
		return nil, err
	}
	head, err := http.ReadResponse(c.reader, request)
	switch {
	case err != nil:
		return nil, err
	case head.ProtoMajor != 1:
		return nil, trace.BadParameter("malformed response: protocol %s", head.Proto)
	}
	return head, responsehead.Check(head)
}

// http10 begins the status line of a response of HTTP/1.0.
var http10 = []byte("HTTP/1.0")

// checkVersion looks at a head before it is parsed. The parser drops the field that names chunks from a
// response of HTTP/1.0, and takes their sizes for a part of the body. Such a head is rejected, also if it
// is too long to tell.
func (c *conn) checkVersion() error {
	version, err := c.reader.Peek(len(http10))
	if err != nil || !bytes.Equal(version, http10) {
		return nil // the parser finds out more
	}
	for n := c.reader.Buffered(); ; n = max(n+1, c.reader.Buffered()) {
		head, err := c.reader.Peek(n)
		end := endOfHead(head)
		if end > 0 {
			head = head[:end]
		}
		if bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding")) {
			return trace.BadParameter("malformed response: chunks under HTTP/1.0")
		}
		if end > 0 {
			return nil
		}
		if err != nil {
			return trace.BadParameter("malformed response: a head of HTTP/1.0 that is cut or over %d bytes", readBufferBytes)
		}
	}
}

// endOfHead returns the length of the head at the front of p; 0 if it isn't complete.
func endOfHead(p []byte) int {
	for _, empty := range [][]byte{[]byte("\n\r\n"), []byte("\n\n")} {
		if at := bytes.Index(p, empty); at >= 0 {
			return at + len(empty)
		}
	}
	return 0
}
