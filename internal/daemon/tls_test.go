package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/certs"
	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// Guards against a listener with a certificate that also answers plain HTTP: callers'
// keys and bodies would then be sent unencrypted.
func TestListenerWithACertificateAnswersOnlyHTTPS(t *testing.T) {
	folder := t.TempDir()
	_, err := certs.Write(certs.Options{Folder: folder, Instances: []fleet.InstanceID{"one"}, Now: time.Now(), Validity: time.Hour})
	assert.NilError(t, err)
	settings := config.Listener{
		Listen:      "127.0.0.1:0",
		Certificate: filepath.Join(folder, "one.pem"),
		Key:         filepath.Join(folder, "one-key.pem"),
	}
	tlsConfig, err := listenerTLS(settings)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", settings.Listen)
	assert.NilError(t, err)
	server := newHTTPServer(http.HandlerFunc(serveHealth), config.DefaultDaemon().Bounds, tlsConfig)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		assert.NilError(t, server.Close())
		assert.NilError(t, <-ended)
	})

	trusted, err := rpc.ClientTLS(filepath.Join(folder, "authority.pem"))
	assert.NilError(t, err)
	trustedWithName := trusted.Clone()
	trustedWithName.ServerName = rpc.ServerName
	cases := []struct {
		name   string
		url    string
		config *tls.Config
		status int // 0: no response
	}{
		{"https", "https://", trustedWithName, http.StatusOK},
		{"certificate for another host", "https://", trusted, 0},
		{"plain", "http://", nil, http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: c.config, DisableKeepAlives: true}}
			response, err := client.Get(c.url + listener.Addr().String())
			if c.status == 0 {
				assert.Assert(t, err != nil)
				return
			}
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, c.status)
		})
	}
}

func TestPlainListenersHaveNoTLS(t *testing.T) {
	tlsConfig, err := listenerTLS(config.Listener{Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	assert.Assert(t, tlsConfig == nil)
	tlsConfig, err = rpc.ClientTLS("")
	assert.NilError(t, err)
	assert.Assert(t, tlsConfig == nil)
}
