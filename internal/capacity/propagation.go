package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/certs"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// maxTimelineEvents is the maximum number of events requested from one daemon.
const maxTimelineEvents = 4096

// indexTime is the log index of a change and the time when it was accepted or applied.
type indexTime struct {
	index uint64
	at    time.Time
}

// measurePropagation sends changes one after another, at random intervals, and reads
// from each daemon's timeline when it applied each of them.
func (f *testFleet) measurePropagation(ctx context.Context, r *report, at sweepPoint) error {
	random := rand.New(rand.NewPCG(1, uint64(at.value)))
	began := time.Now()
	answers := newTally()
	var changes []indexTime
	for n := range f.options.timedChanges {
		name := settings.TeamPrefix + teamName(0)
		sent := time.Now()
		reply, err := sendChange(ctx, f.client, name, f.versions[name], fmt.Sprint("in-force-", at.value, "-", n), teamDocument(0, n+1), 0)
		if err != nil {
			return trace.Wrap(err)
		}
		f.versions[name]++
		answers.add("change accepted", "fleet", "ms", milliseconds(time.Since(sent)))
		changes = append(changes, indexTime{reply.GetResult().GetIndex(), time.Now()})
		if err := sleepFor(ctx, time.Duration(random.IntN(500))*time.Millisecond); err != nil {
			return err
		}
	}
	if err := sleepFor(ctx, time.Second); err != nil {
		return err
	}
	applied, err := f.appliedSince(ctx, began)
	if err != nil {
		return trace.Wrap(err)
	}
	return reportPropagation(answers, changes, applied, r, at)
}

func reportPropagation(t *tally, changes []indexTime, applied [][]indexTime, r *report, at sweepPoint) error {
	for _, c := range changes {
		last := time.Duration(0)
		for _, events := range applied {
			when, ok := firstAtOrAfter(events, c.index)
			if !ok {
				return trace.NotFound("a daemon has not applied index %d", c.index)
			}
			wait := max(when.Sub(c.at), 0)
			t.add("in force at one daemon after accepted", "fleet", "ms", milliseconds(wait))
			last = max(last, wait)
		}
		t.add("in force everywhere after accepted", "fleet", "ms", milliseconds(last))
	}
	t.report(r, at)
	return nil
}

func firstAtOrAfter(events []indexTime, index uint64) (time.Time, bool) {
	for _, e := range events {
		if e.index >= index {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// appliedSince returns, for each daemon, when it applied settings since the given time
// and up to which index.
func (f *testFleet) appliedSince(ctx context.Context, since time.Time) ([][]indexTime, error) {
	keys := filepath.Join(f.folder, "keys")
	own := filepath.Join(keys, f.instances[0].ID)
	secure, err := rpc.LoadTLS(rpc.TLSFiles{
		Authority:   filepath.Join(keys, certs.AuthorityFile),
		Certificate: own + certs.CertificateSuffix,
		Key:         own + certs.KeySuffix,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	pool := rpc.NewPool(secure, nil)
	defer func() { _ = pool.Close() }()
	out := make([][]indexTime, len(f.instances))
	err = f.forEachInstance(func(n int, i *instance) error {
		conn, err := pool.Conn(ctx, i.RPC)
		if err != nil {
			return trace.Wrap(err)
		}
		page, err := pb.NewDRPCTimelineClient(conn).Query(ctx, &pb.TimelineQuery{SinceNs: uint64(since.UnixNano()), Limit: maxTimelineEvents})
		if err != nil {
			return trace.Wrap(err)
		}
		out[n] = settingsEvents(page)
		return nil
	})
	return out, err
}

func settingsEvents(page *pb.TimelinePage) []indexTime {
	var out []indexTime
	for _, e := range page.GetEvents() {
		var index uint64
		if e.GetKind() != string(timeline.KindSettings) {
			continue
		}
		if _, err := fmt.Sscanf(e.GetDetail(), "index %d", &index); err != nil {
			continue
		}
		out = append(out, indexTime{index, time.Unix(0, int64(e.GetWallNs()))})
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
