package operator

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// What a user sees: an operator's key is sent to whoever answers at the
// address. The tool must take only daemons of its own fleet.
func TestClientTakesItsOwnFleetOnly(t *testing.T) {
	own, other := testkit.Keys(t, t.TempDir(), "a"), testkit.Keys(t, t.TempDir(), "a")
	server := httptest.NewUnstartedServer(newHandlerFor(&stub{}, bootstrapped()))
	config, err := ServerTLS(own)
	assert.NilError(t, err)
	server.TLS = config
	server.StartTLS()
	defer server.Close()

	ask := func(fleet rpc.Files) error {
		trusted, err := ClientTLS(fleet.Authority)
		assert.NilError(t, err)
		address := strings.TrimPrefix(server.URL, "https://")
		_, err = NewClient(ClientOptions{Addresses: []string{address}, Key: "root-key", TLS: trusted}).Status(context.Background(), nil)
		return err
	}
	assert.NilError(t, ask(own))
	err = ask(other)
	assert.Assert(t, trace.IsConnectionProblem(err), "%v", err)
	assert.ErrorContains(t, err, "certificate signed by unknown authority")
}
