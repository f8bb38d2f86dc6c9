package faultfs

import "errors"

// file is an open file.
type file struct {
	fs          *FS
	node        *node
	incarnation int
}

// Write implements io.Writer. On a full disk it writes as much as fits.
func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.incarnation != f.fs.incarnation {
		return 0, errStaleHandle
	}
	n, err := f.fs.freeSpace(len(p))
	f.node.data = append(f.node.data, p[:n]...)
	return n, err
}

// Sync implements storage.File. A failed sync drops the unsynced pages: readers
// still see them, but later syncs skip them.
func (f *file) Sync() error {
	err := f.fs.beginSync()
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.incarnation != f.fs.incarnation {
		return errStaleHandle
	}
	if err != nil {
		f.node.lostBytes = len(f.node.data)
		return err
	}
	f.node.persist(len(f.node.data))
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }

// persist makes data up to end durable. Bytes that a failed sync dropped become
// zeros.
func (n *node) persist(end int) {
	from := len(n.durable)
	if end <= from {
		return
	}
	n.durable = append(n.durable, n.data[from:end]...)
	if n.lostBytes > from {
		clear(n.durable[from:min(n.lostBytes, end)])
	}
}

// lock is a held lock file.
type lock struct {
	fs          *FS
	path        string
	incarnation int
}

// Close implements io.Closer.
func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.incarnation != l.fs.incarnation {
		return errors.New("lock from before the crash")
	}
	delete(l.fs.locked, l.path)
	return nil
}
