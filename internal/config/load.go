package config

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// Load reads and checks the daemon's file. Relative paths in it are resolved
// against the file's folder. If the file can be read but isn't valid, the error
// contains strictyaml.Faults with all faults.
func Load(path string) (Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Daemon{}, trace.ConvertSystemError(err)
	}
	daemon, err := Parse(path, data)
	if err != nil {
		return Daemon{}, trace.Wrap(err)
	}
	folder := filepath.Dir(path)
	for _, field := range daemon.pathFields() {
		*field = resolvePath(folder, *field)
	}
	return daemon, nil
}

// Parse is like Load for a file's contents, but leaves paths as written.
func Parse(file string, data []byte) (Daemon, error) {
	daemon := DefaultDaemon()
	document := strictyaml.Decode(file, data, &daemon)
	if document.Err() == nil {
		check(&daemon, document)
	}
	if err := document.Err(); err != nil {
		return Daemon{}, trace.Wrap(err)
	}
	return daemon, nil
}

// pathFields returns pointers to all fields that hold file or folder names.
func (d *Daemon) pathFields() []*string {
	return []*string{
		&d.DataFolder,
		&d.TLS.Authority, &d.TLS.Certificate, &d.TLS.Key,
		&d.FleetSecretFile,
		&d.EndpointAuthority,
		&d.Listeners.Callers.Certificate, &d.Listeners.Callers.Key,
		&d.Listeners.Endpoints.Certificate, &d.Listeners.Endpoints.Key,
	}
}

func resolvePath(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}
