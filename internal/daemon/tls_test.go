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

// A caller's key and body travel in the clear when a listener that was given a
// certificate answers plain HTTP as well. It must not.
func TestListenerWithACertificateAnswersOnlyHTTPS(t *testing.T) {
	folder := t.TempDir()
	_, err := certs.Write(certs.Options{Folder: folder, Instances: []fleet.InstanceID{"one"}, Now: time.Now(), Life: time.Hour})
	assert.NilError(t, err)
	settings := config.Listener{
		Listen:      "127.0.0.1:0",
		Certificate: filepath.Join(folder, "one.pem"),
		Key:         filepath.Join(folder, "one-key.pem"),
	}
	secure, err := ownTLS(settings)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", settings.Listen)
	assert.NilError(t, err)
	server := newHTTPServer(http.HandlerFunc(healthy), config.DefaultDaemon().Bounds, secure)
	ended := make(chan error, 1)
	go func() { ended <- serveHTTP(server, listener) }()
	t.Cleanup(func() {
		assert.NilError(t, server.Close())
		assert.NilError(t, <-ended)
	})

	trusted, err := rpc.TrustingTLS(filepath.Join(folder, "authority.pem"))
	assert.NilError(t, err)
	named := trusted.Clone()
	named.ServerName = rpc.ServerName
	cases := []struct {
		name   string
		url    string
		config *tls.Config
		status int // 0: no answer
	}{
		{"https", "https://", named, http.StatusOK},
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
	secure, err := ownTLS(config.Listener{Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	assert.Assert(t, secure == nil)
	secure, err = rpc.TrustingTLS("")
	assert.NilError(t, err)
	assert.Assert(t, secure == nil)
}
