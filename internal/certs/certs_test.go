package certs

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

func writeCerts(t *testing.T, folder string, ids ...fleet.InstanceID) error {
	t.Helper()
	_, err := Write(Options{Folder: folder, Instances: ids, Now: time.Now()})
	return err
}

func filesOf(folder, id string) rpc.TLSFiles {
	return rpc.TLSFiles{
		Authority:   filepath.Join(folder, AuthorityFile),
		Certificate: filepath.Join(folder, id+CertificateSuffix),
		Key:         filepath.Join(folder, id+KeySuffix),
	}
}

// handshake performs a mutual TLS handshake and returns the error of either side.
func handshake(t *testing.T, server, client rpc.TLSFiles) error {
	t.Helper()
	serverTLS, err := rpc.LoadTLS(server)
	assert.NilError(t, err)
	clientTLS, err := rpc.LoadTLS(client)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			accepted <- err
			return
		}
		defer func() { _ = connection.Close() }()
		accepted <- tls.Server(connection, serverTLS).HandshakeContext(context.Background())
	}()
	connection, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	clientErr := tls.Client(connection, clientTLS).HandshakeContext(context.Background())
	if clientErr != nil {
		_ = connection.Close()
	}
	return trace.NewAggregate(clientErr, <-accepted)
}

func TestWrittenFilesWorkTogether(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "keys")
	assert.NilError(t, writeCerts(t, folder, "a", "b"))
	assert.NilError(t, handshake(t, filesOf(folder, "a"), filesOf(folder, "b")))
	_, err := config.LoadSecret(filepath.Join(folder, SecretFile))
	assert.NilError(t, err)
	entries, err := os.ReadDir(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 7)
	for _, entry := range entries {
		info, err := entry.Info()
		assert.NilError(t, err)
		assert.Equal(t, info.Mode().Perm(), os.FileMode(fileMode), entry.Name())
	}
}

// Guards against a second run of "certs" replacing the authority that signed the daemons'
// certificates, after which no daemon could connect to another.
func TestExistingFilesAreNotOverwritten(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, writeCerts(t, folder, "a"))
	before, err := os.ReadFile(filepath.Join(folder, AuthorityFile))
	assert.NilError(t, err)
	err = writeCerts(t, folder, "b", "a")
	assert.Assert(t, trace.IsAlreadyExists(err), "%v", err)
	_, err = os.Stat(filepath.Join(folder, "b"+CertificateSuffix))
	assert.Assert(t, os.IsNotExist(err))

	assert.NilError(t, writeCerts(t, folder, "b"))
	after, err := os.ReadFile(filepath.Join(folder, AuthorityFile))
	assert.NilError(t, err)
	assert.Equal(t, string(before), string(after))
	assert.NilError(t, handshake(t, filesOf(folder, "a"), filesOf(folder, "b")))

	// Concurrent runs: the other one creates the file after this one has checked.
	err = createFile(filepath.Join(folder, AuthorityFile), []byte("other"))
	assert.Assert(t, trace.IsAlreadyExists(err), "%v", err)

	assert.NilError(t, os.Remove(filepath.Join(folder, SecretFile)))
	assert.ErrorContains(t, writeCerts(t, folder, "c"), "has some of")
}

func TestHandshakeRejectsOtherFleet(t *testing.T) {
	one, other := t.TempDir(), t.TempDir()
	assert.NilError(t, writeCerts(t, one, "a"))
	assert.NilError(t, writeCerts(t, other, "a"))
	assert.ErrorContains(t, handshake(t, filesOf(one, "a"), filesOf(other, "a")), "certificate")
}

func TestInvalidInstanceIDs(t *testing.T) {
	for _, ids := range [][]fleet.InstanceID{nil, {""}, {"a", "a"}, {"../a"}, {"authority"}, {"authority-key"}, {"a", "a-key"}} {
		assert.Assert(t, writeCerts(t, t.TempDir(), ids...) != nil, "%v", ids)
	}
}
