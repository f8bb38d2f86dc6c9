package operator

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// ServerTLS returns the configuration of the operators' listener, which serves HTTPS
// with the daemon's own certificate. Operators authenticate by key, so no client
// certificate is requested.
func ServerTLS(files rpc.TLSFiles) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, trace.Wrap(err, "certificate %s with key %s", files.Certificate, files.Key)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}, nil
}

// ClientTLS returns a configuration that trusts the daemons of the fleet whose
// certificate authority is in authorityFile.
func ClientTLS(authorityFile string) (*tls.Config, error) {
	data, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, trace.BadParameter("%s holds no certificate", authorityFile)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: rpc.ServerName}, nil
}
