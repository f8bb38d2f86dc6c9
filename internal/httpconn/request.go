package httpconn

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is one request, with its body in memory.
type Request struct {
	Method string
	Target string // path and query as they go on the wire
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells from an answer's status and header whether it belongs to
	// this request; nil takes any. An endpoint may send a second answer to an
	// earlier request where this one's is due.
	Matches func(status int, header http.Header) bool
	// Tag names the request's attempt: a connection that carried the same tag
	// before is not used, since a second answer on it would match.
	Tag string
}

// appendHead writes the request line and the header.
func (r *Request) appendHead(b *bytes.Buffer) error {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if err := r.Header.Write(b); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return nil
}
