package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// Guards against hiding the reason when all entries refuse: an error that only says that no
// entry returned an address list looks like a network fault, although the key was removed
// from the settings.
func TestAddressesErrorNamesRefusal(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
		body := callerapi.ErrorBody{Error: callerapi.Error{Code: callerapi.CodeUnauthorised, Message: "no team has this key"}}
		assert.Check(t, json.NewEncoder(w).Encode(body))
	}))
	defer refusing.Close()
	client := New([]string{strings.TrimPrefix(refusing.URL, "http://")}, "old key", nil)
	_, err := client.Addresses(context.Background())
	assert.ErrorContains(t, err, "no team has this key (unauthorised")
}
