package standin

import (
	"context"
	"net/http"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

const (
	mostEvents = 8192 // unsent; older ones are dropped, which makes a gap
	eventBatch = 1024 // in one message
)

// eventQueue holds cache events that are not sent yet.
type eventQueue struct {
	waiting []engineapi.CacheEvent
}

func (q *eventQueue) add(events []engineapi.CacheEvent) {
	q.waiting = append(q.waiting, events...)
	if over := len(q.waiting) - mostEvents; over > 0 {
		q.waiting = append(q.waiting[:0], q.waiting[over:]...)
	}
}

func (q *eventQueue) take() []engineapi.CacheEvent {
	n := min(len(q.waiting), eventBatch)
	batch := append([]engineapi.CacheEvent(nil), q.waiting[:n]...)
	q.waiting = append(q.waiting[:0], q.waiting[n:]...)
	return batch
}

// runEvents sends cache events late, until ctx ends. A message that fails is
// not sent again: the home finds the gap.
func (s *Standin) runEvents(ctx context.Context) {
	for sleep.For(ctx, s.timing.CacheLag) {
		s.waitThaw(ctx.Done())
		home, batch := s.takeEvents()
		if len(batch) == 0 {
			continue
		}
		var answer engineapi.CacheEventsReply
		events := engineapi.CacheEvents{ID: s.options.ID, Incarnation: s.options.Incarnation, Events: batch}
		if err := s.tell(ctx, home, pathCacheEvents, events, &answer); err != nil {
			s.options.Part.Debug("cache events were not taken", "home", home, "err", err)
		}
	}
}

func (s *Standin) takeEvents() (home string, batch []engineapi.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.home == "" {
		return "", nil
	}
	batch = s.events.take()
	if len(batch) > 0 && s.faults.CacheGaps > 0 {
		s.faults.CacheGaps--
		return "", nil
	}
	return s.home, batch
}

func (s *Standin) serveCache(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	snapshot := s.cache.snapshot()
	s.mu.Unlock()
	snapshot.Incarnation = s.options.Incarnation
	reply(w, snapshot)
}
