package certs

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// PEM block types.
const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
)

// clockSkew is how far NotBefore lies in the past, for instances whose clocks are behind.
const clockSkew = time.Hour

const serialBits = 128

// authority signs the certificates of one fleet.
type authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

func newAuthority(now time.Time, validity time.Duration) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template, err := newTemplate("hyssopsail fleet authority", now, validity)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true // may sign daemons' certificates but no further authority
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certificate, err := x509.ParseCertificate(der)
	return &authority{certificate: certificate, key: key}, trace.Wrap(err)
}

func loadAuthority(certificateFile, keyFile string) (*authority, error) {
	pair, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, trace.Wrap(err, "authority %s with key %s", certificateFile, keyFile)
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok || !pair.Leaf.IsCA {
		return nil, trace.BadParameter("%s is no certificate authority", certificateFile)
	}
	return &authority{certificate: pair.Leaf, key: signer}, nil
}

// issue creates a certificate and key for one daemon, for use as both TLS server and TLS
// client: both sides of a connection present one.
func (a *authority) issue(name string, now time.Time, validity time.Duration) (certificate, key []byte, err error) {
	daemonKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	template.DNSNames = []string{rpc.ServerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, daemonKey.Public(), a.key)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return encodePEM(der, daemonKey)
}

func (a *authority) pem() (certificate, key []byte, err error) {
	return encodePEM(a.certificate.Raw, a.key)
}

func encodePEM(der []byte, key crypto.Signer) (certificatePEM, keyPEM []byte, err error) {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	certificatePEM = pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: der})
	keyPEM = pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: raw})
	return certificatePEM, keyPEM, nil
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}
