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

// mostEvents is the most that one daemon is asked for.
const mostEvents = 4096

// accepted is one change and when its answer came.
type accepted struct {
	index uint64
	at    time.Time
}

// measureInForce makes changes one after another, at random distances, and
// reads from each daemon's time line when it had applied each.
func (f *testFleet) measureInForce(ctx context.Context, r *report, at size) error {
	random := rand.New(rand.NewPCG(1, uint64(at.count)))
	began := time.Now()
	answers := newTally()
	var changes []accepted
	for n := range f.options.changes {
		name := settings.TeamPrefix + teamName(0)
		sent := time.Now()
		reply, err := send(ctx, f.client, name, f.versions[name], fmt.Sprint("in-force-", at.count, "-", n), teamDocument(0, n+1), 0)
		if err != nil {
			return trace.Wrap(err)
		}
		f.versions[name]++
		answers.add("change accepted", "fleet", "ms", milliseconds(time.Since(sent)))
		changes = append(changes, accepted{reply.GetResult().GetIndex(), time.Now()})
		if err := pause(ctx, time.Duration(random.IntN(500))*time.Millisecond); err != nil {
			return err
		}
	}
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	applied, err := f.appliedSince(ctx, began)
	if err != nil {
		return trace.Wrap(err)
	}
	return inForce(answers, changes, applied, r, at)
}

func inForce(t *tally, changes []accepted, applied [][]accepted, r *report, at size) error {
	for _, c := range changes {
		last := time.Duration(0)
		for _, events := range applied {
			when, ok := firstAt(events, c.index)
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

func firstAt(events []accepted, index uint64) (time.Time, bool) {
	for _, e := range events {
		if e.index >= index {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// appliedSince reads when each daemon applied settings, and through which index.
func (f *testFleet) appliedSince(ctx context.Context, since time.Time) ([][]accepted, error) {
	keys := filepath.Join(f.folder, "keys")
	own := filepath.Join(keys, f.instances[0].ID)
	secure, err := rpc.LoadTLS(rpc.Files{
		Authority:   filepath.Join(keys, certs.AuthorityFile),
		Certificate: own + certs.CertificateSuffix,
		Key:         own + certs.KeySuffix,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	pool := rpc.NewPool(secure, nil)
	defer func() { _ = pool.Close() }()
	out := make([][]accepted, len(f.instances))
	err = f.each(func(n int, i *instance) error {
		conn, err := pool.Conn(ctx, i.RPC)
		if err != nil {
			return trace.Wrap(err)
		}
		page, err := pb.NewDRPCTimelineClient(conn).Query(ctx, &pb.TimelineQuery{SinceNs: uint64(since.UnixNano()), Limit: mostEvents})
		if err != nil {
			return trace.Wrap(err)
		}
		out[n] = settingsEvents(page)
		return nil
	})
	return out, err
}

func settingsEvents(page *pb.TimelinePage) []accepted {
	var out []accepted
	for _, e := range page.GetEvents() {
		var index uint64
		if e.GetKind() != string(timeline.KindSettings) {
			continue
		}
		if _, err := fmt.Sscanf(e.GetDetail(), "index %d", &index); err != nil {
			continue
		}
		out = append(out, accepted{index, time.Unix(0, int64(e.GetWallNs()))})
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
