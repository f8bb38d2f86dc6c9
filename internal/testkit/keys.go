package testkit

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/certs"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// WriteKeys writes the keys and certificates of a new fleet with one instance into an empty
// folder and returns the paths of the instance's files.
func WriteKeys(t testing.TB, folder string, id fleet.InstanceID) rpc.TLSFiles {
	t.Helper()
	_, err := certs.Write(certs.Options{Folder: folder, Instances: []fleet.InstanceID{id}, Now: time.Now()})
	assert.NilError(t, err)
	return rpc.TLSFiles{
		Authority:   filepath.Join(folder, certs.AuthorityFile),
		Certificate: filepath.Join(folder, string(id)+certs.CertificateSuffix),
		Key:         filepath.Join(folder, string(id)+certs.KeySuffix),
	}
}
