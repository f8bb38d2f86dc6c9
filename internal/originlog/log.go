package originlog

import (
	"context"
	"errors"
	iofs "io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
	"github.com/hyssopsail/hyssopsail/internal/storage"
	"github.com/hyssopsail/hyssopsail/internal/streamorigin"
)

const (
	// maxQueued bounds the calls of entries whose records wait to be written.
	maxQueued = 256
	// minFileBytes is the size from which on a file is replaced, if that is also twice that of the
	// live records.
	minFileBytes = 1 << 20
	// retryInterval is the pause after a fault of the disk.
	retryInterval = time.Second
	filePrefix    = "streams-"
	// folderName is the folder of the files within an instance's data folder.
	folderName = "streams"
)

// Options configure a Log.
type Options struct {
	FS         storage.FS
	DataFolder string // of the instance
	Part       logging.Part
}

// Records are those of a control instance. They are safe for concurrent use.
type Records interface {
	// Live returns the records that are to be kept.
	Live() []*pb.StreamBatch
	// Restore adds records of an earlier process.
	Restore(batches []*pb.StreamBatch)
	SetJournal(j streamorigin.Journal)
}

// Keep restores the records of earlier processes, and returns a function that keeps those that are
// added until ctx ends. It must be called before the records are used.
func Keep(ctx context.Context, records Records, o Options) func() error {
	l := newLog(o, records)
	records.Restore(l.read())
	records.SetJournal(l)
	return func() error {
		l.run(ctx)
		return nil
	}
}

// Log appends records to a file. It implements streamorigin.Journal.
type Log struct {
	options Options
	folder  string
	records Records
	queue   chan []*pb.StreamBatch
	dropped atomic.Bool // records were not queued since the latest file was begun

	file      storage.File // nil before the first one, and after a fault
	number    uint64       // of the latest file
	written   int          // bytes in file
	liveBytes int          // with which file began
}

func newLog(o Options, records Records) *Log {
	return &Log{options: o, folder: filepath.Join(o.DataFolder, folderName), records: records, queue: make(chan []*pb.StreamBatch, maxQueued)}
}

// read returns the records that earlier processes have kept, as far as they can be read.
func (l *Log) read() []*pb.StreamBatch {
	var all []*pb.StreamBatch
	for _, number := range l.files() {
		data, err := l.options.FS.ReadFile(l.path(number))
		if err != nil {
			l.options.Part.Warn("Streams that were recorded can't be read.", "err", err)
			continue
		}
		batches, rest := decodeFrames(data)
		if rest > 0 {
			l.options.Part.Info("Recorded streams end with what can't be read.", "bytes", rest, "of", len(data))
		}
		all = append(all, batches...)
	}
	return all
}

// files returns the numbers of the files that there are, the oldest first. The next file gets a higher one.
func (l *Log) files() []uint64 {
	names, err := l.options.FS.ReadDir(l.folder)
	if err != nil {
		if !errors.Is(err, iofs.ErrNotExist) { // there is no folder before the first start
			l.options.Part.Warn("The folder of recorded streams can't be read.", "err", err)
		}
		return nil
	}
	var numbers []uint64
	for _, name := range names {
		text, ok := strings.CutPrefix(name, filePrefix)
		if number, err := strconv.ParseUint(text, 10, 64); ok && err == nil {
			numbers = append(numbers, number)
			l.number = max(l.number, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func (l *Log) path(number uint64) string {
	return filepath.Join(l.folder, filePrefix+strconv.FormatUint(number, 10))
}

// Append queues records. Those that don't fit are written with the next file.
func (l *Log) Append(batches []*pb.StreamBatch) {
	select {
	case l.queue <- batches:
	default:
		l.dropped.Store(true)
	}
}

// run writes records until ctx ends.
func (l *Log) run(ctx context.Context) {
	defer l.close()
	for {
		if err := l.step(ctx); err != nil {
			l.options.Part.Warn("Streams can't be recorded on the disk.", "err", err)
			l.close()
			sleep.For(ctx, retryInterval)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// step begins a file if that is due, and else waits for records and writes them.
func (l *Log) step(ctx context.Context) error {
	if l.file == nil || l.written > max(minFileBytes, 2*l.liveBytes) || l.dropped.Load() {
		return l.begin()
	}
	select {
	case batches := <-l.queue:
		return l.write(batches)
	case <-ctx.Done():
		return nil
	}
}

// begin replaces all files by one with the live records.
func (l *Log) begin() error {
	l.close()
	if err := l.options.FS.MkdirAll(l.folder); err != nil {
		return trace.Wrap(err)
	}
	old := l.files()
	l.dropped.Store(false)
	l.number++
	file, err := l.options.FS.Create(l.path(l.number))
	if err != nil {
		return trace.Wrap(err)
	}
	l.file, l.written = file, 0
	for len(l.queue) > 0 {
		<-l.queue // among the live records
	}
	if err := l.write(l.records.Live()); err != nil {
		return err
	}
	l.liveBytes = l.written
	for _, number := range old {
		if err := l.options.FS.Remove(l.path(number)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (l *Log) write(batches []*pb.StreamBatch) error {
	frame, err := encodeFrame(batches)
	if err != nil {
		return trace.Wrap(err)
	}
	n, err := l.file.Write(frame)
	l.written += n
	return trace.Wrap(err)
}

func (l *Log) close() {
	if l.file != nil {
		err := l.file.Close()
		l.options.Part.Debug("Closed a file of recorded streams.", "bytes", l.written, "err", err)
		l.file = nil
	}
}
