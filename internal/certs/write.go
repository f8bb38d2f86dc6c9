package certs

import (
	"crypto/rand"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Names of the files in the folder. An instance's files are named by its ID followed by
// CertificateSuffix and KeySuffix.
const (
	AuthorityFile     = "authority.pem"
	AuthorityKeyFile  = "authority-key.pem"
	SecretFile        = "fleet-secret.hex"
	CertificateSuffix = ".pem"
	KeySuffix         = "-key.pem"
)

// DefaultValidity is how long certificates are valid.
const DefaultValidity = 5 * 365 * 24 * time.Hour

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// Options configures Write.
type Options struct {
	Folder    string
	Instances []fleet.InstanceID // at least one
	Validity  time.Duration      // 0: DefaultValidity
	Now       time.Time
}

// Write generates the files and returns the paths of those written. If the folder already
// has an authority (all three of its files), the instances' certificates are signed by it.
// Write fails before it writes anything if a file of an instance exists or the authority's
// files are incomplete.
func Write(o Options) (written []string, err error) {
	if o.Validity == 0 {
		o.Validity = DefaultValidity
	}
	if err := o.validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	files, err := o.generate()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := os.MkdirAll(o.Folder, folderMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	for _, f := range files {
		path := filepath.Join(o.Folder, f.name)
		if err := createFile(path, f.data); err != nil {
			return written, trace.Wrap(err)
		}
		written = append(written, path)
	}
	return written, nil
}

// file is one file to write.
type file struct {
	name string
	data []byte
}

func (o Options) validate() error {
	if len(o.Instances) == 0 {
		return trace.BadParameter("name at least one instance")
	}
	// IDs such as "a" and "a-key" would share a file.
	usedNames := map[string]bool{AuthorityFile: true, AuthorityKeyFile: true, SecretFile: true}
	for _, id := range o.Instances {
		if id == "" || filepath.Base(string(id)) != string(id) {
			return trace.BadParameter("%q is no instance ID that a file can have", string(id))
		}
		for _, name := range []string{string(id) + CertificateSuffix, string(id) + KeySuffix} {
			if usedNames[name] {
				return trace.BadParameter("instance %q would share the file %s", string(id), name)
			}
			usedNames[name] = true
			if exists(filepath.Join(o.Folder, name)) {
				return trace.AlreadyExists("%s exists and is not overwritten", filepath.Join(o.Folder, name))
			}
		}
	}
	return nil
}

func (o Options) generate() ([]file, error) {
	signer, files, err := o.loadOrCreateAuthority()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, id := range o.Instances {
		certificate, key, err := signer.issue(string(id), o.Now, o.Validity)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		files = append(files, file{string(id) + CertificateSuffix, certificate}, file{string(id) + KeySuffix, key})
	}
	return files, nil
}

// loadOrCreateAuthority returns the folder's authority, or a new one along with the files
// of the new authority and of a new secret.
func (o Options) loadOrCreateAuthority() (*authority, []file, error) {
	present := 0
	names := []string{AuthorityFile, AuthorityKeyFile, SecretFile}
	for _, name := range names {
		if exists(filepath.Join(o.Folder, name)) {
			present++
		}
	}
	switch present {
	case 0:
		return newFleetFiles(o.Now, o.Validity)
	case len(names):
		loaded, err := loadAuthority(filepath.Join(o.Folder, AuthorityFile), filepath.Join(o.Folder, AuthorityKeyFile))
		return loaded, nil, trace.Wrap(err)
	}
	return nil, nil, trace.AlreadyExists("%s has some of %v but not all; use an empty folder, or one with the whole set", o.Folder, names)
}

func newFleetFiles(now time.Time, validity time.Duration) (*authority, []file, error) {
	ca, err := newAuthority(now, validity)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	certificate, key, err := ca.pem()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	var secret config.Secret
	if _, err := rand.Read(secret[:]); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return ca, []file{
		{AuthorityFile, certificate},
		{AuthorityKeyFile, key},
		{SecretFile, []byte(secret.Hex() + "\n")},
	}, nil
}

func exists(path string) bool {
	_, err := os.Lstat(path)
	return !errors.Is(err, fs.ErrNotExist)
}

// createFile writes a new file and syncs it. It fails when path exists, so that concurrent
// runs can't mix their files.
func createFile(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, writeErr := f.Write(data)
	syncErr := f.Sync()
	closeErr := f.Close()
	return trace.ConvertSystemError(errors.Join(writeErr, syncErr, closeErr))
}
