package endpoint

import (
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
)

// maxOtherAddresses bounds the other entries named in a reply.
const maxOtherAddresses = 5

// announceReplyCache keeps the replies to endpoints under one state: ranking
// all entries for each heartbeat would cost a home of a large fleet more than
// everything else it does. mu is taken with no other lock held.
type announceReplyCache struct {
	mu      sync.Mutex
	state   *membership.State
	replies map[replyKey]engineapi.AnnounceReply
}

type replyKey struct {
	id   fleet.EndpointID
	zone fleet.AvailabilityZone
}

func (a *announceReplyCache) get(state *membership.State, key replyKey) (engineapi.AnnounceReply, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != state {
		return engineapi.AnnounceReply{}, false
	}
	reply, ok := a.replies[key]
	return reply, ok
}

func (a *announceReplyCache) put(state *membership.State, key replyKey, reply engineapi.AnnounceReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != state {
		a.state = state
		a.replies = make(map[replyKey]engineapi.AnnounceReply)
	}
	if len(a.replies) < maxEndpoints {
		a.replies[key] = reply
	}
}

// announceReply returns where an endpoint's home is; found is false if the view
// has no entry.
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
	for _, i := range ranked[1:min(len(ranked), maxOtherAddresses+1)] {
		reply.Addresses = append(reply.Addresses, i.EndpointAddress)
	}
	return reply, true
}
