package storage

import (
	"path/filepath"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// writeWhole makes a file of one record durable, under its name only once it
// is whole: a crash leaves the old file, or the new one, never a part.
func writeWhole(fs FS, path, salt string, number uint64, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	return writeDurably(fs, path, appendRecord(nil, salt, number, payload))
}

func writeDurably(fs FS, path string, content []byte) error {
	temporary := path + temporarySuffix
	f, err := fs.Create(temporary)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := writeAndSync(f, content); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := fs.Rename(temporary, path); err != nil {
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
