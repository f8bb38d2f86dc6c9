package operator

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// ServerTLS makes the operators' listener speak HTTPS with the daemon's own
// certificate. Operators are known by key, so they show no certificate.
func ServerTLS(files rpc.Files) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, trace.Wrap(err, "certificate %s with key %s", files.Certificate, files.Key)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}, nil
}

// ClientTLS trusts the daemons of the fleet whose authority is in the file.
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
