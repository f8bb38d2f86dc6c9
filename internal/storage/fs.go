package storage

import "io"

// FS is what a Store needs of a file system. Paths are those of the host.
// A file's content is durable after File.Sync; its name after SyncDir.
type FS interface {
	MkdirAll(dir string) error
	// Create makes an empty file, replacing an existing one.
	Create(path string) (File, error)
	// ReadFile fails with fs.ErrNotExist when there is no such file.
	ReadFile(path string) ([]byte, error)
	// ReadDir gives the names in dir in any order.
	ReadDir(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
	// Lock takes path for this process until Close; it fails at once when
	// another process has it.
	Lock(path string) (io.Closer, error)
}

// File is a file that is written from its start to its end.
type File interface {
	io.Writer
	io.Closer
	Sync() error
}
