package faultfs

import "errors"

// file is an open file.
type file struct {
	fs   *FS
	node *node
	life int
}

// Write implements io.Writer. On a full disk it writes what fits.
func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.life != f.fs.life {
		return 0, errGone
	}
	n, err := f.fs.room(len(p))
	f.node.data = append(f.node.data, p[:n]...)
	return n, err
}

// Sync implements storage.File. A failed one gives up the pages that were
// waiting: readers go on to see them, and the next sync passes over them.
func (f *file) Sync() error {
	err := f.fs.beginSync()
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.life != f.fs.life {
		return errGone
	}
	if err != nil {
		f.node.dropped = len(f.node.data)
		return err
	}
	f.node.persist(len(f.node.data))
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }

// persist makes data up to end durable, with zeros for what was given up.
func (n *node) persist(end int) {
	from := len(n.durable)
	if end <= from {
		return
	}
	n.durable = append(n.durable, n.data[from:end]...)
	if n.dropped > from {
		clear(n.durable[from:min(n.dropped, end)])
	}
}

// lock is a held lock file.
type lock struct {
	fs   *FS
	path string
	life int
}

// Close implements io.Closer.
func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.life != l.fs.life {
		return errors.New("lock from before the crash")
	}
	delete(l.fs.locked, l.path)
	return nil
}
