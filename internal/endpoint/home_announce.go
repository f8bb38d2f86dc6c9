package endpoint

import (
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
)

// maxAddresses bounds the other entries named in a reply.
const maxAddresses = 5

// announceReplies remembers what endpoints were told under one state: ranking
// all entries for each heartbeat would cost a home of a large fleet more than
// all else it does. mu is taken with no other lock held.
type announceReplies struct {
	mu    sync.Mutex
	state *membership.State
	known map[replyKey]engineapi.AnnounceReply
}

type replyKey struct {
	id   fleet.EndpointID
	zone fleet.AvailabilityZone
}

func (m *announceReplies) get(state *membership.State, key replyKey) (engineapi.AnnounceReply, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != state {
		return engineapi.AnnounceReply{}, false
	}
	reply, ok := m.known[key]
	return reply, ok
}

func (m *announceReplies) put(state *membership.State, key replyKey, reply engineapi.AnnounceReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != state {
		m.state = state
		m.known = make(map[replyKey]engineapi.AnnounceReply)
	}
	if len(m.known) < maxEndpoints {
		m.known[key] = reply
	}
}

// announceReply tells an endpoint where its home is; found is false when the
// view has no entry.
func (h *Home) announceReply(a engineapi.Announcement) (reply engineapi.AnnounceReply, found bool) {
	state := h.options.Source.State()
	key := replyKey{id: a.ID, zone: a.Zone}
	if reply, ok := h.replies.get(state, key); ok {
		return reply, true
	}
	reply, found = rankedReply(state, a)
	if found {
		h.replies.put(state, key, reply)
	}
	return reply, found
}

func rankedReply(state *membership.State, a engineapi.Announcement) (engineapi.AnnounceReply, bool) {
	limits := limitsFrom(state.Tree)
	reply := engineapi.AnnounceReply{
		HeartbeatMs: limits.Heartbeat.Milliseconds(),
		LeaseMs:     limits.EndpointLease.Milliseconds(),
	}
	ranked := fleet.RankInstances(string(a.ID), a.Zone, entriesOf(state.View))
	if len(ranked) == 0 {
		return reply, false
	}
	reply.Home = ranked[0].EndpointAddress
	for _, i := range ranked[1:min(len(ranked), maxAddresses+1)] {
		reply.Addresses = append(reply.Addresses, i.EndpointAddress)
	}
	return reply, true
}
