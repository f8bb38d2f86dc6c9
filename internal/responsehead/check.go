package responsehead

import (
	"net/http"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the largest status that there is (RFC 9110, section 15).
const maxStatus = 599

// Check returns an error of the kind BadParameter if the head of a response is malformed. Interim
// (1xx) responses pass, but for an upgrade of the protocol, which no request asks for.
func Check(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return trace.BadParameter("malformed response: status %d", r.StatusCode)
	}
	return checkFields(r.Header)
}

// CheckTrailer returns an error of the kind BadParameter if the trailer of a response, whose body was
// read to its end, is malformed.
func CheckTrailer(r *http.Response) error { return checkFields(r.Trailer) }

// maxShownBytes bounds what an error quotes.
const maxShownBytes = 40

func checkFields(fields http.Header) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return trace.BadParameter("malformed response: a field is named %q", shown(name))
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return trace.BadParameter("malformed response: the field %s is %q", name, shown(value))
			}
		}
	}
	return nil
}

func shown(text string) string { return text[:min(len(text), maxShownBytes)] }

// IsCloseDelimited reports whether the body of a response ends with its connection (RFC 9112,
// section 6.3).
func IsCloseDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.ProtoMajor == 1
}
