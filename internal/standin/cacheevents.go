package standin

import (
	"context"
	"net/http"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

const (
	maxQueuedEvents     = 8192 // older ones are dropped, which leaves a gap in the sequence
	maxEventsPerMessage = 1024
)

// eventQueue holds the cache events that haven't been sent yet.
type eventQueue struct {
	unsent []engineapi.CacheEvent
}

func (q *eventQueue) add(events []engineapi.CacheEvent) {
	q.unsent = append(q.unsent, events...)
	if over := len(q.unsent) - maxQueuedEvents; over > 0 {
		q.unsent = append(q.unsent[:0], q.unsent[over:]...)
	}
}

func (q *eventQueue) take() []engineapi.CacheEvent {
	n := min(len(q.unsent), maxEventsPerMessage)
	batch := append([]engineapi.CacheEvent(nil), q.unsent[:n]...)
	q.unsent = append(q.unsent[:0], q.unsent[n:]...)
	return batch
}

// runEvents sends cache events every Timing.CacheEventInterval until ctx ends. A message that
// fails is not sent again: the home detects the gap.
func (s *Standin) runEvents(ctx context.Context) {
	for sleep.For(ctx, s.timing.CacheEventInterval) {
		s.waitWhileFrozen(ctx.Done())
		home, batch := s.nextEventBatch()
		if len(batch) == 0 {
			continue
		}
		var answer engineapi.CacheEventsReply
		events := engineapi.CacheEvents{ID: s.options.ID, Incarnation: s.options.Incarnation, Events: batch}
		if err := s.postToDaemon(ctx, home, pathCacheEvents, events, &answer); err != nil {
			s.options.Part.Debug("cache events could not be sent", "home", home, "err", err)
		}
	}
}

func (s *Standin) nextEventBatch() (home string, batch []engineapi.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.home == "" {
		return "", nil
	}
	batch = s.cacheEvents.take()
	if len(batch) > 0 && s.faults.DropCacheEventBatches > 0 {
		s.faults.DropCacheEventBatches--
		return "", nil
	}
	return s.home, batch
}

func (s *Standin) serveCache(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	snapshot := s.prefixCache.snapshot()
	s.mu.Unlock()
	snapshot.Incarnation = s.options.Incarnation
	reply(w, snapshot)
}
