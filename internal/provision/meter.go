package provision

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The meter's bounds.
const (
	maxRows     = 256   // kinds of demand counted; more are not
	maxTaken    = 16384 // grants whose end is awaited; more are not timed
	stoppedWait = 200 * time.Millisecond
)

// Meter is a Follower that counts what is asked of each model on its way to
// another one, and keeps new work from endpoints that this daemon's Gate has
// stopped. Safe for many goroutines; mu is held during no call.
type Meter struct {
	endpoint.Follower
	source membership.Source
	gate   *Gate

	mu    sync.Mutex
	rows  map[Key]*pb.DemandRow
	taken map[takenKey]Key
}

type takenKey struct {
	endpoint fleet.EndpointID
	attempt  fleet.AttemptID
	kind     fleet.EndpointRole
}

var _ endpoint.Follower = (*Meter)(nil)

// NewMeter counts what goes to inner.
func NewMeter(inner endpoint.Follower, source membership.Source, gate *Gate) *Meter {
	return &Meter{
		Follower: inner,
		source:   source,
		gate:     gate,
		rows:     make(map[Key]*pb.DemandRow),
		taken:    make(map[takenKey]Key),
	}
}

// Candidates implements endpoint.Follower.
func (m *Meter) Candidates(q endpoint.Query) []endpoint.Candidate {
	found := m.Follower.Candidates(q)
	if m.gate.any() {
		found = slices.DeleteFunc(found, func(c endpoint.Candidate) bool { return m.gate.stopped(time.Now(), c.ID) })
	}
	if len(found) == 0 && counted(q.Kind) {
		m.count(Key{Model: q.Model, Kind: q.Kind, Class: q.Permitted.Class()}, func(r *pb.DemandRow) { r.Absent++ })
	}
	return found
}

func counted(kind fleet.EndpointRole) bool {
	return kind == fleet.RolePrefill || kind == fleet.RoleDecode
}

// Take implements endpoint.Follower.
func (m *Meter) Take(ctx context.Context, r endpoint.GrantRequest) (*endpoint.Grant, *endpoint.Refusal, error) {
	leave, ok := m.gate.enter(time.Now(), r.Endpoint)
	if !ok {
		return nil, &endpoint.Refusal{Status: pb.GrantStatus_GRANT_STATUS_FULL, RetryAfter: stoppedWait}, nil
	}
	grant, refusal, err := m.Follower.Take(ctx, r)
	leave()
	if counted(r.Kind) && err == nil {
		m.asked(r, grant)
	}
	return grant, refusal, err
}

func (m *Meter) asked(r endpoint.GrantRequest, grant *endpoint.Grant) {
	key := Key{Model: r.Model, Kind: r.Kind, Class: m.class(r.Team)}
	m.count(key, func(row *pb.DemandRow) {
		if grant == nil {
			row.Refused++
			return
		}
		row.Granted++
		row.PromptTokens += uint64(max(r.PromptTokens, 0))
		if len(m.taken) < maxTaken {
			m.taken[takenKey{r.Endpoint, r.Attempt, r.Kind}] = key
		}
	})
}

func (m *Meter) class(team fleet.Team) string {
	tree := m.source.State().Tree
	if tree == nil {
		return ""
	}
	return tree.Teams[team].Permitted().Class()
}

// Give implements endpoint.Follower.
func (m *Meter) Give(r endpoint.Release) {
	m.Follower.Give(r)
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := takenKey{r.Grant.Endpoint, r.Grant.Attempt, r.Grant.Kind}
	key, ok := m.taken[taken]
	if !ok {
		return
	}
	delete(m.taken, taken)
	m.rows[key].BusyMs += uint64(max(r.Busy, 0).Milliseconds())
}

// count changes a row under mu.
func (m *Meter) count(k Key, change func(*pb.DemandRow)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[k]
	if !ok {
		if len(m.rows) >= maxRows {
			return
		}
		row = &pb.DemandRow{Model: k.Model.String(), Kind: string(k.Kind), Class: k.Class}
		m.rows[k] = row
	}
	change(row)
}

// Reply gives the counts so far.
func (m *Meter) Reply() *pb.DemandReply {
	self := m.source.Self()
	reply := &pb.DemandReply{InstanceId: string(self.ID), Incarnation: uint64(self.Incarnation)}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range m.rows {
		reply.Rows = append(reply.Rows, &pb.DemandRow{
			Model: row.Model, Kind: row.Kind, Class: row.Class,
			Granted: row.Granted, Refused: row.Refused, Absent: row.Absent,
			PromptTokens: row.PromptTokens, BusyMs: row.BusyMs,
		})
	}
	return reply
}
