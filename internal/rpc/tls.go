package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// ServerName is the DNS name in each daemon's certificate. Peers are dialled
// by IP address, so the name means "a daemon of this fleet".
const ServerName = "hyssopsaild"

// TLSFiles names the PEM files of one daemon.
type TLSFiles struct {
	Authority   string // the fleet's certificate authority
	Certificate string
	Key         string
}

// LoadTLS reads the files and returns a configuration in which both sides must
// present a certificate issued by the fleet's authority.
func LoadTLS(f TLSFiles) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, trace.Wrap(err, "certificate %s with key %s", f.Certificate, f.Key)
	}
	pool, err := LoadAuthority(f.Authority)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return MutualTLS(pair, pool), nil
}

// LoadAuthority reads the PEM certificates of a file.
func LoadAuthority(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("%s holds no certificate", path)
	}
	return pool, nil
}

// ClientTLS returns a client configuration that trusts the authority in the file
// at path, and checks that a server's certificate names the host dialled. For an
// empty path it returns nil, which means plain HTTP.
func ClientTLS(path string) (*tls.Config, error) {
	if path == "" {
		return nil, nil
	}
	pool, err := LoadAuthority(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

// MutualTLS returns the configuration that both sides of a connection use.
func MutualTLS(own tls.Certificate, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{own},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
	}
}
