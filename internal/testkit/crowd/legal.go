package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// SendLargestLegal sends one request within the usual limits of a configuration, with the largest head,
// which has very many short fields, and the largest body. It returns the response.
func SendLargestLegal(ctx context.Context, t Target) (status int, body string, err error) {
	conn, err := t.dial(ctx, 0)
	if err != nil {
		return 0, "", err
	}
	defer reset(conn)
	defer context.AfterFunc(ctx, func() { reset(conn) })()
	head := t.head(http.MethodPost, t.Path, 0) + fmt.Sprintf("Content-Length: %d\r\n", LegalBodyBytes)
	for n := 0; len(head)+len(shortField(n))+len("\r\n") <= LegalHeadBytes; n++ {
		head += shortField(n)
	}
	if _, err := io.WriteString(conn, head+"\r\n"+strings.Repeat("x", LegalBodyBytes)); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
