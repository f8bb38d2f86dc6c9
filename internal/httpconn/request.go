package httpconn

import (
	"bytes"
	"cmp"
	"net/http"
	"strconv"
)

// Request is one request, with its body in memory.
type Request struct {
	Peer   string // name of the endpoint in logs; empty for its address
	Method string
	Target string // path and query as they go on the wire
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports from a response's status and header whether it belongs to
	// this request; nil accepts any. An endpoint may send a second response to an
	// earlier request in place of the response to this one.
	Matches func(status int, header http.Header) bool
	// Tag identifies the request's attempt. A connection whose previous request
	// had the same tag is not reused: a second response to that request would match.
	Tag string
}

// peer returns the name of the endpoint at an address in logs.
func (r *Request) peer(address string) string { return cmp.Or(r.Peer, address) }

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
