package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

const (
	pathAnnounce    = "/v1/endpoints/announce"
	pathHeartbeat   = "/v1/endpoints/heartbeat"
	pathLeave       = "/v1/endpoints/leave"
	pathCacheEvents = "/v1/endpoints/cache-events"
)

const (
	defaultHeartbeatInterval = time.Second
	minHeartbeatInterval     = 10 * time.Millisecond
	maxHeartbeatInterval     = time.Minute
	postTimeout              = time.Second
	maxHomeHops              = 4 // homes tried one after another in findHome
	maxAddresses             = 64
	maxReplyBytes            = 1 << 20
)

// Announcement returns the present description of the endpoint.
func (s *Standin) Announcement() engineapi.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcementLocked()
}

func (s *Standin) announcementLocked() engineapi.Announcement {
	models := slices.SortedFunc(maps.Keys(s.models), func(a, b engineapi.ModelRef) int {
		return strings.Compare(a.String(), b.String())
	})
	return engineapi.Announcement{
		ID:                  s.options.ID,
		Incarnation:         s.options.Incarnation,
		Zone:                s.options.Zone,
		Address:             s.address,
		Role:                s.role,
		Models:              models,
		Service:             s.options.Service,
		Slots:               s.options.Slots,
		KVBytes:             s.options.KVBytes,
		ChecksFencingTokens: s.options.ChecksFencingTokens,
		LastFencingToken:    s.lastToken,
		Software:            s.options.Software,
	}
}

func (s *Standin) serveState(w http.ResponseWriter, _ *http.Request) { reply(w, s.Announcement()) }

// runAnnounce keeps the endpoint registered until ctx ends: it announces itself
// to one daemon after another until it has a home, sends heartbeats there, and
// starts again when the home is unreachable.
func (s *Standin) runAnnounce(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		s.waitWhileFrozen(ctx.Done())
		addresses := s.daemonAddresses()
		if !s.findHome(ctx, addresses[n%len(addresses)]) {
			sleep.For(ctx, s.retryInterval())
			continue
		}
		s.sendHeartbeats(ctx)
	}
}

// daemonAddresses returns the addresses of the daemons to announce to: those that
// daemons have named, then the configured ones.
func (s *Standin) daemonAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := append([]string(nil), s.namedAddresses...)
	return append(addresses, s.options.Entries...)
}

// retryInterval returns the wait after a failed announcement.
func (s *Standin) retryInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(s.heartbeatInterval, defaultHeartbeatInterval) / 4
}

// findHome announces the endpoint to a daemon, then to the home that the daemon
// names, until a daemon names itself or none. It reports whether a home was found.
func (s *Standin) findHome(ctx context.Context, to string) bool {
	for range maxHomeHops {
		var answer engineapi.AnnounceReply
		if err := s.postToDaemon(ctx, to, pathAnnounce, s.Announcement(), &answer); err != nil {
			s.options.Part.Debug("announcement failed", "to", to, "err", err)
			return false
		}
		s.applyReply(answer)
		if answer.Home == "" || answer.Home == to {
			s.setHome(to)
			return true
		}
		to = answer.Home
	}
	return false
}

func (s *Standin) setHome(home string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.home = home
	if home != "" {
		s.options.Part.Info("home is set", "home", home)
	}
}

// applyReply applies a daemon's answer: cancels, the heartbeat interval and
// the addresses of other entries.
func (s *Standin) applyReply(answer engineapi.AnnounceReply) {
	for _, attempt := range answer.Cancel {
		s.cancel(attempt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.HeartbeatMs > 0 {
		interval := time.Duration(min(answer.HeartbeatMs, maxHeartbeatInterval.Milliseconds())) * time.Millisecond
		s.heartbeatInterval = max(interval, minHeartbeatInterval)
	}
	if len(answer.Addresses) > 0 {
		s.namedAddresses = append([]string(nil), answer.Addresses[:min(len(answer.Addresses), maxAddresses)]...)
	}
}

// sendHeartbeats sends heartbeats to the home and follows it to another daemon. It
// returns after two failures in a row, with no home set, or when ctx ends.
func (s *Standin) sendHeartbeats(ctx context.Context) {
	misses := 0
	for sleep.For(ctx, s.currentHeartbeatInterval()) {
		s.waitWhileFrozen(ctx.Done())
		home, heartbeat := s.nextHeartbeat()
		var answer engineapi.AnnounceReply
		if err := s.postToDaemon(ctx, home, pathHeartbeat, heartbeat, &answer); err != nil {
			misses++
			s.options.Part.Debug("heartbeat failed", "home", home, "err", err)
			if misses >= 2 {
				s.setHome("")
				return
			}
			continue
		}
		misses = 0
		s.applyReply(answer)
		if answer.Home != "" && answer.Home != home {
			s.findHome(ctx, answer.Home)
		}
	}
}

func (s *Standin) currentHeartbeatInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeatInterval
}

func (s *Standin) nextHeartbeat() (home string, heartbeat engineapi.Heartbeat) {
	held := s.Held()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lag := s.timing.LoadReportDelay
	if s.faults.LoadLagMs > 0 {
		lag = time.Duration(s.faults.LoadLagMs) * time.Millisecond
	}
	s.sequence++
	s.loadSamples.add(now, s.currentLoad())
	return s.home, engineapi.Heartbeat{
		Announcement: s.announcementLocked(),
		Held:         held,
		Load:         s.loadSamples.latestBefore(now, lag),
		Sequence:     s.sequence,
	}
}

// daemonError is an answer of a daemon with a status other than 200.
type daemonError struct {
	status int
}

// Error implements error.
func (e *daemonError) Error() string { return fmt.Sprintf("daemon answered with status %d", e.status) }

// postToDaemon posts in as JSON to a daemon and decodes the answer into out.
func (s *Standin) postToDaemon(ctx context.Context, to, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, postTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+s.options.EndpointKey)
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &daemonError{status: response.StatusCode}
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(out)
}

// HomeAddress returns the host:port of the daemon that holds this endpoint's
// lease; empty if there is none.
func (s *Standin) HomeAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home
}

// leaveMessage returns the message that announces the leave.
func (s *Standin) leaveMessage() engineapi.Leave {
	return engineapi.Leave{ID: s.options.ID, Incarnation: fleet.Incarnation(s.options.Incarnation)}
}
