package provision

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Limits of a Meter.
const (
	maxRows           = 256                    // kinds of demand; further ones are not counted
	maxOpenGrants     = 16384                  // open grants; further ones are not timed
	stoppedRetryAfter = 200 * time.Millisecond // RetryAfter of a stopped endpoint
)

// Meter is a Follower that forwards to another one, counts the demand for each
// model, and withholds new work from endpoints that this daemon's Gate has
// stopped. Safe for concurrent use; mu is not held during calls.
type Meter struct {
	endpoint.Follower
	source membership.Source
	gate   *Gate

	mu         sync.Mutex
	rows       map[Key]*pb.DemandRow
	openGrants map[openGrantKey]Key // grants not released yet
}

type openGrantKey struct {
	endpoint fleet.EndpointID
	attempt  fleet.AttemptID
	kind     fleet.EndpointRole
}

var _ endpoint.Follower = (*Meter)(nil)

// NewMeter returns a Meter in front of inner.
func NewMeter(inner endpoint.Follower, source membership.Source, gate *Gate) *Meter {
	return &Meter{
		Follower:   inner,
		source:     source,
		gate:       gate,
		rows:       make(map[Key]*pb.DemandRow),
		openGrants: make(map[openGrantKey]Key),
	}
}

// Candidates implements endpoint.Follower.
func (m *Meter) Candidates(q endpoint.Query) []endpoint.Candidate {
	q.Excludes = m.stopped()
	found := m.Follower.Candidates(q)
	if len(found) == 0 && q.Software == nil && countsDemand(q.Kind) {
		m.update(Key{Model: q.Model, Kind: q.Kind, Class: q.Permitted.Class()}, func(r *pb.DemandRow) { r.Absent++ })
	}
	return found
}

// CountVersions implements endpoint.Follower.
func (m *Meter) CountVersions(q endpoint.Query) map[string]int {
	q.Excludes = m.stopped()
	return m.Follower.CountVersions(q)
}

// stopped returns which endpoints take no new requests; nil: each takes some.
func (m *Meter) stopped() func(fleet.EndpointID) bool {
	if !m.gate.anyStopped() {
		return nil
	}
	return func(id fleet.EndpointID) bool { return m.gate.stopped(time.Now(), id) }
}

// Find implements endpoint.Follower.
func (m *Meter) Find(id fleet.EndpointID) (endpoint.Candidate, bool) {
	if m.gate.stopped(time.Now(), id) {
		return endpoint.Candidate{}, false
	}
	return m.Follower.Find(id)
}

func countsDemand(kind fleet.EndpointRole) bool {
	return kind == fleet.RolePrefill || kind == fleet.RoleDecode
}

// Acquire implements endpoint.Follower.
func (m *Meter) Acquire(ctx context.Context, r endpoint.GrantRequest) (*endpoint.Grant, *endpoint.Refusal, error) {
	leave, ok := m.gate.enter(time.Now(), r.Endpoint)
	if !ok {
		return nil, &endpoint.Refusal{Status: pb.GrantStatus_GRANT_STATUS_FULL, RetryAfter: stoppedRetryAfter}, nil
	}
	grant, refusal, err := m.Follower.Acquire(ctx, r)
	leave()
	if countsDemand(r.Kind) && err == nil {
		m.countTake(r, grant)
	}
	return grant, refusal, err
}

func (m *Meter) countTake(r endpoint.GrantRequest, grant *endpoint.Grant) {
	key := Key{Model: r.Model, Kind: r.Kind, Class: m.zoneClass(r.Team)}
	m.update(key, func(row *pb.DemandRow) {
		if grant == nil {
			row.Refused++
			return
		}
		row.Granted++
		row.PromptTokens += uint64(max(r.PromptTokens, 0))
		if len(m.openGrants) < maxOpenGrants {
			m.openGrants[openGrantKey{r.Endpoint, r.Attempt, r.Kind}] = key
		}
	})
}

func (m *Meter) zoneClass(team fleet.Team) string {
	tree := m.source.State().Tree
	if tree == nil {
		return ""
	}
	return tree.Teams[team].Permitted().Class()
}

// Release implements endpoint.Follower.
func (m *Meter) Release(r endpoint.Release) {
	m.Follower.Release(r)
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := openGrantKey{r.Grant.Endpoint, r.Grant.Attempt, r.Grant.Kind}
	key, ok := m.openGrants[taken]
	if !ok {
		return
	}
	delete(m.openGrants, taken)
	m.rows[key].BusyMs += uint64(max(r.Busy, 0).Milliseconds())
}

// update updates the row of a kind of demand while holding mu.
func (m *Meter) update(k Key, change func(*pb.DemandRow)) {
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

// Reply returns the counts since the process started.
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
