package storage

import (
	"path/filepath"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// writeFile durably writes a file with one record.
func writeFile(fs FS, path, salt string, number uint64, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	f, err := createFile(fs, path, appendRecord(nil, salt, number, payload))
	if err != nil {
		return err
	}
	return trace.ConvertSystemError(f.Close())
}

// createFile durably writes a file and leaves it open for appending. The file
// gets its name only after its content was synced, so that a crash leaves either
// the old or the new file.
func createFile(fs FS, path string, content []byte) (File, error) {
	f, err := fs.Create(path + temporarySuffix)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := writeAndRename(fs, f, path, content); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// writeAndRename writes content to the temporary file for path and renames it.
func writeAndRename(fs FS, f File, path string, content []byte) error {
	if err := writeAndSync(f, content); err != nil {
		return err
	}
	if err := fs.Rename(path+temporarySuffix, path); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(fs.SyncDir(filepath.Dir(path)))
}

func writeAndSync(f File, content []byte) error {
	if _, err := f.Write(content); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(f.Sync())
}

// readFile reads a file that writeFile wrote.
func readFile(fs FS, path, salt string, m proto.Message) error {
	content, err := fs.ReadFile(path)
	if err != nil {
		return err
	}
	r, err := decodeRecord(content, salt)
	if err != nil {
		return &ErrCorrupt{File: path, Reason: err.Error()}
	}
	if err := proto.Unmarshal(r.payload, m); err != nil {
		return &ErrCorrupt{File: path, Offset: recordHeaderBytes, Reason: err.Error()}
	}
	return nil
}
