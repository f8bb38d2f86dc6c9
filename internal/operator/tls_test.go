package operator

import (
	"context"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/certs"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// What a user sees: an operator's key is sent to whoever answers at the
// address. The tool must take only daemons of its own fleet.
func TestClientTakesItsOwnFleetOnly(t *testing.T) {
	own, other := t.TempDir(), t.TempDir()
	for _, folder := range []string{own, other} {
		_, err := certs.Write(certs.Options{Folder: folder, Instances: []fleet.InstanceID{"a"}, Now: time.Now()})
		assert.NilError(t, err)
	}
	server := httptest.NewUnstartedServer(newHandlerFor(&stub{}, bootstrapped()))
	config, err := ServerTLS(rpc.Files{
		Certificate: filepath.Join(own, "a"+certs.CertificateSuffix),
		Key:         filepath.Join(own, "a"+certs.KeySuffix),
	})
	assert.NilError(t, err)
	server.TLS = config
	server.StartTLS()
	defer server.Close()

	ask := func(folder string) error {
		trusted, err := ClientTLS(filepath.Join(folder, certs.AuthorityFile))
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
