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

// Names of the files in the folder. Each instance has its ID with
// CertificateSuffix and KeySuffix.
const (
	AuthorityFile     = "authority.pem"
	AuthorityKeyFile  = "authority-key.pem"
	SecretFile        = "fleet-secret.hex"
	CertificateSuffix = ".pem"
	KeySuffix         = "-key.pem"
)

// DefaultLife is how long certificates are valid.
const DefaultLife = 5 * 365 * 24 * time.Hour

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// Options say what to write.
type Options struct {
	Folder    string
	Instances []fleet.InstanceID // at least one
	Life      time.Duration      // 0: DefaultLife
	Now       time.Time
}

// Write makes the set. A folder that already has an authority (all three of
// its files) is extended by the instances it doesn't have; any file that
// would be overwritten refuses the whole call before anything is written.
func Write(o Options) (written []string, err error) {
	if o.Life == 0 {
		o.Life = DefaultLife
	}
	if err := o.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	files, err := o.make()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := os.MkdirAll(o.Folder, folderMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	for _, f := range files {
		path := filepath.Join(o.Folder, f.name)
		if err := writeNew(path, f.data); err != nil {
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

func (o Options) check() error {
	if len(o.Instances) == 0 {
		return trace.BadParameter("name at least one instance")
	}
	// IDs such as "a" and "a-key" would share a file.
	taken := map[string]bool{AuthorityFile: true, AuthorityKeyFile: true, SecretFile: true}
	for _, id := range o.Instances {
		if id == "" || filepath.Base(string(id)) != string(id) {
			return trace.BadParameter("%q is no instance ID that a file can have", string(id))
		}
		for _, name := range []string{string(id) + CertificateSuffix, string(id) + KeySuffix} {
			if taken[name] {
				return trace.BadParameter("instance %q would share the file %s", string(id), name)
			}
			taken[name] = true
			if exists(filepath.Join(o.Folder, name)) {
				return trace.AlreadyExists("%s exists and is not overwritten", filepath.Join(o.Folder, name))
			}
		}
	}
	return nil
}

func (o Options) make() ([]file, error) {
	owner, files, err := o.authority()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, id := range o.Instances {
		certificate, key, err := owner.issue(string(id), o.Now, o.Life)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		files = append(files, file{string(id) + CertificateSuffix, certificate}, file{string(id) + KeySuffix, key})
	}
	return files, nil
}

// authority loads the folder's authority or makes a new one with a secret.
func (o Options) authority() (*authority, []file, error) {
	present := 0
	names := []string{AuthorityFile, AuthorityKeyFile, SecretFile}
	for _, name := range names {
		if exists(filepath.Join(o.Folder, name)) {
			present++
		}
	}
	switch present {
	case 0:
		return newFleet(o.Now, o.Life)
	case len(names):
		loaded, err := loadAuthority(filepath.Join(o.Folder, AuthorityFile), filepath.Join(o.Folder, AuthorityKeyFile))
		return loaded, nil, trace.Wrap(err)
	}
	return nil, nil, trace.AlreadyExists("%s has some of %v but not all; use an empty folder, or one with the whole set", o.Folder, names)
}

func newFleet(now time.Time, life time.Duration) (*authority, []file, error) {
	made, err := newAuthority(now, life)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	certificate, key, err := made.pem()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	var secret config.Secret
	if _, err := rand.Read(secret[:]); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return made, []file{
		{AuthorityFile, certificate},
		{AuthorityKeyFile, key},
		{SecretFile, []byte(secret.Hex() + "\n")},
	}, nil
}

func exists(path string) bool {
	_, err := os.Lstat(path)
	return !errors.Is(err, fs.ErrNotExist)
}

// writeNew fails when path exists: two runs at once can't mix their sets.
func writeNew(path string, data []byte) error {
	handle, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, writeErr := handle.Write(data)
	syncErr := handle.Sync()
	closeErr := handle.Close()
	return trace.ConvertSystemError(errors.Join(writeErr, syncErr, closeErr))
}
