package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/route"
)

// Guards against an answer that a caller without chunks takes for whole, since the daemon was
// killed while it wrote it.
func TestAnswerToACallHasItsLength(t *testing.T) {
	const bodyBytes = 64 << 10
	c := &callerHandler{bounds: Bounds{}.withDefaults()}
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, control: http.NewResponseController(w), id: "r-1"}
		c.writeAnswer(x, &route.CallResponse{StatusCode: http.StatusOK, Body: make([]byte, bodyBytes)})
	}))
	defer front.Close()
	conn, err := net.Dial("tcp4", front.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.ContentLength, int64(bodyBytes))
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), bodyBytes)
}
