package originlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/storage/faultfs"
	"github.com/hyssopsail/hyssopsail/internal/streamorigin"
)

// instance is a control instance that holds records, and its disk.
type instance struct {
	disk *faultfs.FS

	mu   sync.Mutex // guards live
	live []*pb.StreamBatch
	log  streamorigin.Journal
	stop func()
}

func (i *instance) Restore(batches []*pb.StreamBatch) { i.live = batches }

func (i *instance) SetJournal(j streamorigin.Journal) { i.log = j }

// start starts a process, which reads what earlier ones kept.
func (i *instance) start() {
	ctx, cancel := context.WithCancel(context.Background())
	keep := Keep(ctx, i, Options{FS: i.disk, DataFolder: "/data"})
	var running sync.WaitGroup
	running.Go(func() { _ = keep() }) // returns nil
	i.stop = func() { cancel(); running.Wait() }
	synctest.Wait()
}

func (i *instance) Live() []*pb.StreamBatch {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.live
}

func (i *instance) record(name string) {
	batch := &pb.StreamBatch{Service: name, Software: "v1", TtlS: 20, Streams: make([]byte, 1200)}
	i.mu.Lock()
	i.live = append(i.live, batch)
	i.mu.Unlock()
	i.log.Append([]*pb.StreamBatch{batch})
}

// forget drops all records, as if they had expired.
func (i *instance) forget() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.live = nil
}

// restart replaces the process and returns what it finds.
func (i *instance) restart() (names string) {
	synctest.Wait()
	i.stop()
	i.start()
	var list []string
	for _, batch := range i.Live() {
		list = append(list, batch.Service)
	}
	return strings.Join(list, " ")
}

func run(t *testing.T, test func(t *testing.T, i *instance)) {
	synctest.Test(t, func(t *testing.T) {
		i := &instance{disk: faultfs.New()}
		i.start()
		defer func() { i.stop() }()
		test(t, i)
	})
}

// Guards against streams that can't be resumed since all processes ended at the same moment.
func TestRecordsOutliveTheProcess(t *testing.T) {
	run(t, func(t *testing.T, i *instance) {
		assert.Equal(t, i.restart(), "", "nothing was recorded")
		i.record("a")
		i.record("b")
		assert.Equal(t, i.restart(), "a b")
		i.record("c")
		assert.Equal(t, i.restart(), "a b c")
		assert.Equal(t, i.restart(), "a b c", "each start begins a file")
	})
}

// Guards against records that are made of what a loss of power left of others.
func TestTornRecordsAreNotRead(t *testing.T) {
	var frames []byte
	for _, name := range []string{"a", "b"} {
		frame, err := encodeFrame([]*pb.StreamBatch{{Service: name, Streams: make([]byte, 120)}})
		assert.NilError(t, err)
		frames = append(frames, frame...)
	}
	half := len(frames) / 2
	for cut := range len(frames) {
		batches, rest := decodeFrames(frames[:cut])
		assert.Equal(t, len(batches), cut/half)
		assert.Equal(t, rest, cut%half)
	}
	for at := range frames {
		damaged := append([]byte(nil), frames...)
		damaged[at] ^= 0x10
		batches, _ := decodeFrames(damaged)
		assert.Equal(t, len(batches), at/half, "byte %d", at)
	}
}

// Guards against a loss of power that keeps an instance from starting, or brings records that nobody made.
func TestLossOfPowerLosesOnlyTheLatest(t *testing.T) {
	for seed := range uint64(30) {
		run(t, func(t *testing.T, i *instance) {
			for n := range 5 {
				i.record(fmt.Sprint(n))
			}
			synctest.Wait()
			i.disk.Crash(rand.New(rand.NewPCG(seed, 1)))
			got := i.restart()
			assert.Assert(t, strings.HasPrefix("0 1 2 3 4", got), got)
			i.record("next")
			assert.Equal(t, i.restart(), strings.TrimSpace(got+" next"))
		})
	}
}

// Guards against a log that fills the disk, which the settings are on as well.
func TestLogStaysSmall(t *testing.T) {
	run(t, func(t *testing.T, i *instance) {
		for n := range 10_000 {
			i.record(fmt.Sprint(n))
			if n%50 == 0 {
				i.forget()
				synctest.Wait()
			}
			assert.Assert(t, i.disk.Used() < 3*minFileBytes)
		}
	})
}

// Guards against records that are lost for good since the disk was full once, and against a full disk
// that ends the process.
func TestRecordsAreKeptAgainAfterAFullDisk(t *testing.T) {
	run(t, func(t *testing.T, i *instance) {
		i.record("before")
		synctest.Wait()
		i.disk.SetCapacity(i.disk.Used())
		i.record("full")
		synctest.Wait()
		i.disk.SetCapacity(1 << 30)
		time.Sleep(2 * retryInterval)
		assert.Equal(t, i.restart(), "before full")
	})
}

// Guards against entries that are held up by a disk that hangs, and records that are lost then.
func TestDiskThatHangsHoldsUpNobody(t *testing.T) {
	run(t, func(t *testing.T, i *instance) {
		began := time.Now()
		for n := range 3 * maxQueued { // the writer doesn't run in between
			i.record(fmt.Sprint(n))
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, len(strings.Fields(i.restart())), 3*maxQueued)
	})
}

// FuzzDecodeFrames checks that bytes of any kind are read without a panic, and only what was written.
func FuzzDecodeFrames(f *testing.F) {
	frame, err := encodeFrame([]*pb.StreamBatch{{Service: "s", Software: "v1", TtlS: 9, Streams: []byte("123456789012")}})
	assert.NilError(f, err)
	f.Add(frame)
	f.Add(append(frame, frame[:10]...))
	f.Fuzz(func(t *testing.T, data []byte) {
		batches, rest := decodeFrames(data)
		assert.Assert(t, rest >= 0 && rest <= len(data))
		for _, batch := range batches {
			_, err := proto.Marshal(batch)
			assert.NilError(t, err)
		}
	})
}
