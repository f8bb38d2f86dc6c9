package daemon

import (
	"crypto/tls"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/config"
)

// listenerTLS returns the HTTPS configuration of a listener with its own certificate, or
// nil for plain HTTP.
func listenerTLS(l config.Listener) (*tls.Config, error) {
	if !l.Secure() {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(l.Certificate, l.Key)
	if err != nil {
		return nil, trace.Wrap(err, "certificate %s with key %s", l.Certificate, l.Key)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}, nil
}
