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

// Guards against sending an operator's key to a server of another fleet: the client must
// only trust daemons of its own fleet.
func TestClientTrustsItsOwnFleetOnly(t *testing.T) {
	own, other := testkit.WriteKeys(t, t.TempDir(), "a"), testkit.WriteKeys(t, t.TempDir(), "a")
	server := httptest.NewUnstartedServer(newHandlerFor(&stubControl{}, bootstrapped()))
	tlsConfig, err := ServerTLS(own)
	assert.NilError(t, err)
	server.TLS = tlsConfig
	server.StartTLS()
	defer server.Close()

	status := func(fleet rpc.TLSFiles) error {
		trusted, err := ClientTLS(fleet.Authority)
		assert.NilError(t, err)
		address := strings.TrimPrefix(server.URL, "https://")
		_, err = NewClient(ClientOptions{Addresses: []string{address}, Key: "root-key", TLS: trusted}).Status(context.Background(), nil)
		return err
	}
	assert.NilError(t, status(own))
	err = status(other)
	assert.Assert(t, trace.IsConnectionProblem(err), "%v", err)
	assert.ErrorContains(t, err, "certificate signed by unknown authority")
}
