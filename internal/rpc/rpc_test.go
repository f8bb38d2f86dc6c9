package rpc_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return authority{certificate: certificate, key: key, pool: pool}
}

func (a authority) issue(t *testing.T) *tls.Config {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		DNSNames:     []string{rpc.ServerName},
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	return rpc.MutualTLS(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, a.pool)
}

func serve(t *testing.T, config *tls.Config, clock *timeline.Clock) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.NewServer(config, clock, logging.Part{})
	ring := timeline.NewRing(8, clock, fleet.Owner{Instance: "server", Incarnation: 1})
	ring.Record(timeline.Event{Kind: timeline.KindReceived, Request: "r"})
	assert.NilError(t, pb.DRPCRegisterTimeline(server.Mux, timeline.NewService(ring)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return listener.Addr().String()
}

func query(t *testing.T, config *tls.Config, clock rpc.Clock, address string) error {
	t.Helper()
	pool := rpc.NewPool(config, clock)
	defer func() { assert.NilError(t, pool.Close()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := pool.Conn(ctx, address)
	assert.NilError(t, err)
	page, err := pb.NewDRPCTimelineClient(conn).Query(ctx, &pb.TimelineQuery{})
	if err != nil {
		return err
	}
	assert.Equal(t, len(page.GetEvents()), 1)
	return nil
}

func TestOnlyFleetCertificatesAreAccepted(t *testing.T) {
	own := newAuthority(t)
	other := newAuthority(t)
	address := serve(t, own.issue(t), timeline.NewClock(time.Now))

	trusting := other.issue(t)
	trusting.RootCAs = own.pool
	anonymous := own.issue(t)
	anonymous.Certificates = nil
	cases := []struct {
		name     string
		config   *tls.Config
		answered bool
	}{
		{"own certificate", own.issue(t), true},
		{"other authority", other.issue(t), false},
		{"trusts the fleet but has another's certificate", trusting, false},
		{"no certificate", anonymous, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := query(t, c.config, nil, address)
			assert.Equal(t, err == nil, c.answered, "%v", err)
		})
	}
}

// A call carries the caller's stamp, so that the events that the called daemon
// records next are ordered after it even when its wall clock is behind.
func TestCallCarriesTheLogicalClock(t *testing.T) {
	own := newAuthority(t)
	behind := timeline.NewClock(time.Now)
	ahead := timeline.NewClock(func() time.Time { return time.Now().Add(time.Second) })
	address := serve(t, own.issue(t), behind)

	before := ahead.Now()
	assert.Assert(t, behind.Now().Before(before))
	assert.NilError(t, query(t, own.issue(t), ahead, address))

	assert.Assert(t, before.Before(behind.Now()))
}

// delayingProxy forwards connections to target and delays the first bytes that target
// sends, as a busy machine does with its side of a handshake.
func delayingProxy(t *testing.T, target string, delay time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go proxyWithDelay(caller, target, delay)
		}
	}()
	return listener.Addr().String()
}

func proxyWithDelay(caller net.Conn, target string, delay time.Duration) {
	callee, err := net.Dial("tcp", target)
	if err != nil {
		_ = caller.Close()
		return
	}
	go func() {
		_, _ = io.Copy(callee, caller)
		_ = callee.Close()
	}()
	<-time.After(delay)
	_, _ = io.Copy(caller, callee)
	_ = caller.Close()
}

// A daemon on a busy machine renews its lease with calls that may last 0.1 s, while
// each handshake takes 0.3 s. If the connection were discarded with the call that
// started it, no renewal would ever succeed.
func TestDialContinuesAfterItsCallEnds(t *testing.T) {
	own := newAuthority(t)
	clock := timeline.NewClock(time.Now)
	address := delayingProxy(t, serve(t, own.issue(t), clock), 300*time.Millisecond)
	pool := rpc.NewPool(own.issue(t), clock)
	defer func() { assert.NilError(t, pool.Close()) }()
	ask := func(within time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		conn, err := pool.Conn(ctx, address)
		assert.NilError(t, err)
		_, err = pb.NewDRPCTimelineClient(conn).Query(ctx, &pb.TimelineQuery{})
		return err
	}
	assert.Assert(t, ask(100*time.Millisecond) != nil, "the handshake takes longer")
	deadline := time.Now().Add(10 * time.Second)
	for ask(100*time.Millisecond) != nil {
		assert.Assert(t, time.Now().Before(deadline), "no call was ever answered")
	}
}
