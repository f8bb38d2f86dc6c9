package replica

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/storage"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// filesIn names the files that writeFiles makes.
func filesIn(dir string) rpc.Files {
	path := filepath.Join(dir, "fleet.pem")
	return rpc.Files{Authority: path, Certificate: path, Key: filepath.Join(dir, "key.pem")}
}

// writeFiles makes a fleet whose daemons share one self-signed certificate.
func writeFiles(t testing.TB, dir string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{rpc.ServerName},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	writePEM(t, filesIn(dir).Certificate, "CERTIFICATE", certificate)
	writePEM(t, filesIn(dir).Key, "PRIVATE KEY", secret)
}

func writePEM(t testing.TB, path, kind string, content []byte) {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	assert.NilError(t, os.WriteFile(path, block, 0o600))
}

// process is one node over drpc on the loopback, with real files.
type process struct {
	name, dir, address string
	node               *Node
	stop               context.CancelFunc
	ended              chan struct{}
}

func startProcess(t testing.TB, config *tls.Config, p *process) {
	if p.address == "" {
		p.address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", p.address)
	assert.NilError(t, err)
	p.address = listener.Addr().String()
	pool := rpc.NewPool(config, timeline.NewClock(time.Now))
	transport := NewTransport(pool, logging.Part{})
	p.node, err = New(Options{
		InstanceID: p.name, RPCAddress: p.address, Dir: p.dir, FS: storage.OSFS{},
		Machine: &journal{}, Transport: transport, Seed: uint64(time.Now().UnixNano()),
	})
	assert.NilError(t, err)
	server := rpc.NewServer(config, timeline.NewClock(time.Now), logging.Part{})
	assert.NilError(t, pb.DRPCRegisterConsensus(server.Mux, stepServer{Group: p.node}))
	ctx, cancel := context.WithCancel(context.Background())
	p.stop, p.ended = cancel, make(chan struct{})
	go transport.Run(ctx)
	go server.Serve(ctx, listener)
	go func() {
		defer close(p.ended)
		p.node.Run(ctx)
		pool.Close()
	}()
}

func startProcesses(t testing.TB, count int) (*tls.Config, []*process) {
	base := t.TempDir()
	writeFiles(t, base)
	config, err := rpc.LoadTLS(filesIn(base))
	assert.NilError(t, err)
	var all []*process
	var members []*pb.Member
	for i := range count {
		p := &process{name: string(rune('a' + i)), dir: t.TempDir()}
		startProcess(t, config, p)
		t.Cleanup(func() { p.stop(); <-p.ended })
		all = append(all, p)
		members = append(members, &pb.Member{InstanceId: p.name, DiskId: p.node.DiskID(), RpcAddress: p.address})
	}
	assert.NilError(t, all[0].node.Init("fleet", members))
	leaderProcess(t, all)
	return config, all
}

func leaderProcess(t testing.TB, all []*process) *process {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		for _, p := range all {
			if p.node.Status().IsLeader && p.node.ReadBarrier(context.Background()) == nil {
				return p
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no leader within 20 s")
	return nil
}

// Three processes with real files and sockets elect, commit, and go on when
// the leader is gone and comes back at another address.
func TestOverLoopback(t *testing.T) {
	config, all := startProcesses(t, 3)
	leader := leaderProcess(t, all)
	_, err := leader.node.Propose(context.Background(), []byte("x"))
	assert.NilError(t, err)
	leader.stop()
	<-leader.ended
	rest := slices.DeleteFunc(slices.Clone(all), func(p *process) bool { return p == leader })
	applied, err := leaderProcess(t, rest).node.Propose(context.Background(), []byte("y"))
	assert.NilError(t, err)
	leader.address = ""
	startProcess(t, config, leader)
	deadline := time.Now().Add(20 * time.Second)
	for leader.node.Status().Applied < applied.Index {
		assert.Assert(t, time.Now().Before(deadline), "the restarted member doesn't catch up")
		time.Sleep(time.Millisecond)
	}
}
