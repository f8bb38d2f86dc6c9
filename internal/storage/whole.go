package storage

import (
	"path/filepath"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// writeWhole makes a file of one record durable.
func writeWhole(fs FS, path, salt string, number uint64, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	f, err := createWhole(fs, path, appendRecord(nil, salt, number, payload))
	if err != nil {
		return err
	}
	return trace.ConvertSystemError(f.Close())
}

// createWhole makes a file durable and leaves it open for more. It gets its
// name only once its content is synced: a crash leaves the old file, or the
// new one, never a part.
func createWhole(fs FS, path string, content []byte) (File, error) {
	f, err := fs.Create(path + temporarySuffix)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := nameSynced(fs, f, path, content); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// nameSynced writes content to path's temporary file, and renames that.
func nameSynced(fs FS, f File, path string, content []byte) error {
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

// readWhole reads a file written by writeWhole.
func readWhole(fs FS, path, salt string, m proto.Message) error {
	content, err := fs.ReadFile(path)
	if err != nil {
		return err
	}
	r, err := decodeRecord(content, salt)
	if err != nil {
		return &ErrCorrupt{File: path, Reason: err.Error()}
	}
	if err := proto.Unmarshal(r.payload, m); err != nil {
		return &ErrCorrupt{File: path, Offset: recordHeader, Reason: err.Error()}
	}
	return nil
}
