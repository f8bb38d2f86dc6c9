package responsehead

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/gravitational/trace"
)

// Transport returns only well-formed responses of another transport, with bodies that end with io.EOF
// only if they are complete. It is safe for concurrent use if that one is.
type Transport struct {
	Base http.RoundTripper
}

var _ http.RoundTripper = Transport{}

// RoundTrip implements http.RoundTripper. A malformed response is an error of the kind BadParameter.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	upload := NewUpload()
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { upload.End(info.Err) },
	})
	response, err := t.Base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkParsed(response); err != nil {
		_ = response.Body.Close() // nothing of it is used
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response, upload: upload}
	return response, nil
}

// checkParsed is Check for a response whose head can't be looked at any more: net/http drops the field
// that names chunks from a response of HTTP/1.0, whose body then only seems to end with the connection.
func checkParsed(r *http.Response) error {
	if r.ProtoMajor == 1 && r.ProtoMinor == 0 && IsCloseDelimited(r) {
		return trace.BadParameter("malformed response: HTTP/1.0 without a length")
	}
	return Check(r)
}

// CloseIdleConnections closes those of the other transport, if it has such a method.
func (t Transport) CloseIdleConnections() {
	if closer, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// checkedBody is the body of a response.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	upload   *Upload
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return n, err
	}
	if IsCloseDelimited(b.response) {
		if cut := b.upload.CheckEnd(); cut != nil {
			return n, cut
		}
	}
	if malformed := CheckTrailer(b.response); malformed != nil {
		return n, malformed
	}
	return n, err
}
