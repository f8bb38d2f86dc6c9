package storage

import "io"

// FS is the file system interface that a Store needs. Paths are host paths. A
// file's content is durable after File.Sync, and its name after SyncDir.
type FS interface {
	MkdirAll(dir string) error
	// Create creates an empty file, replacing an existing one.
	Create(path string) (File, error)
	// ReadFile returns fs.ErrNotExist if there is no such file.
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the names in dir in any order.
	ReadDir(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
	// Lock locks path for this process until Close. It fails at once if another
	// process holds the lock.
	Lock(path string) (io.Closer, error)
}

// File is a file that is written sequentially.
type File interface {
	io.Writer
	io.Closer
	Sync() error
}
