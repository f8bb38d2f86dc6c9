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
	defaultBeat  = time.Second
	shortestBeat = 10 * time.Millisecond
	longestBeat  = time.Minute
	tellTimeout  = time.Second
	mostHops     = 4 // homes followed in one announcement
	mostEntries  = 64
	maxAnswer    = 1 << 20
)

// Announcement describes the endpoint as it is now.
func (s *Standin) Announcement() engineapi.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement()
}

func (s *Standin) announcement() engineapi.Announcement {
	models := slices.SortedFunc(maps.Keys(s.models), func(a, b engineapi.ModelRef) int {
		return strings.Compare(a.String(), b.String())
	})
	return engineapi.Announcement{
		ID:           s.options.ID,
		Incarnation:  s.options.Incarnation,
		Zone:         s.options.Zone,
		Address:      s.address,
		Role:         s.role,
		Models:       models,
		Service:      s.options.Service,
		Slots:        s.options.Slots,
		KVBytes:      s.options.KVBytes,
		ChecksTokens: s.options.ChecksTokens,
		LastToken:    s.lastToken,
	}
}

func (s *Standin) serveState(w http.ResponseWriter, _ *http.Request) { reply(w, s.Announcement()) }

// runAnnounce keeps the endpoint known until ctx ends: it announces itself to
// one daemon after another until it has a home, sends heartbeats there, and
// begins again when the home is gone.
func (s *Standin) runAnnounce(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		s.waitThaw(ctx.Done())
		known := s.known()
		if !s.settle(ctx, known[n%len(known)]) {
			sleep.For(ctx, s.pause())
			continue
		}
		s.heartbeats(ctx)
	}
}

// known gives the daemons that an announcement may go to.
func (s *Standin) known() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := append([]string(nil), s.addresses...)
	return append(known, s.options.Entries...)
}

// pause is the wait between two failed announcements.
func (s *Standin) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(s.beat, defaultBeat) / 4
}

// settle announces to a daemon and to the home it names, until a daemon names
// itself.
func (s *Standin) settle(ctx context.Context, to string) bool {
	for range mostHops {
		var answer engineapi.AnnounceReply
		if err := s.tell(ctx, to, pathAnnounce, s.Announcement(), &answer); err != nil {
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

// applyReply carries out what a daemon answered: cancels, the heartbeat
// interval and addresses.
func (s *Standin) applyReply(answer engineapi.AnnounceReply) {
	for _, attempt := range answer.Cancel {
		s.cancel(attempt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.HeartbeatMs > 0 {
		beat := time.Duration(min(answer.HeartbeatMs, longestBeat.Milliseconds())) * time.Millisecond
		s.beat = max(beat, shortestBeat)
	}
	if len(answer.Addresses) > 0 {
		s.addresses = append([]string(nil), answer.Addresses[:min(len(answer.Addresses), mostEntries)]...)
	}
}

// heartbeats returns when the home is gone or another one was named.
func (s *Standin) heartbeats(ctx context.Context) {
	misses := 0
	for sleep.For(ctx, s.interval()) {
		s.waitThaw(ctx.Done())
		home, beat := s.heartbeat()
		var answer engineapi.AnnounceReply
		if err := s.tell(ctx, home, pathHeartbeat, beat, &answer); err != nil {
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
			s.settle(ctx, answer.Home)
		}
	}
}

func (s *Standin) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beat
}

func (s *Standin) heartbeat() (home string, beat engineapi.Heartbeat) {
	held := s.Held()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lag := s.timing.LoadLag
	if s.faults.LoadLagMs > 0 {
		lag = time.Duration(s.faults.LoadLagMs) * time.Millisecond
	}
	s.sequence++
	s.loads.add(now, s.load())
	return s.home, engineapi.Heartbeat{
		Announcement: s.announcement(),
		Held:         held,
		Load:         s.loads.report(now, lag),
		Sequence:     s.sequence,
	}
}

// daemonError is a daemon's refusal.
type daemonError struct {
	status int
}

// Error implements error.
func (e *daemonError) Error() string { return fmt.Sprintf("daemon answered with status %d", e.status) }

// tell posts one message to a daemon.
func (s *Standin) tell(ctx context.Context, to, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, tellTimeout)
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
	return json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(out)
}

// HomeAddress gives the daemon that holds this endpoint's lease; empty when
// there is none.
func (s *Standin) HomeAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home
}

// leaveMessage is what the endpoint says when it leaves.
func (s *Standin) leaveMessage() engineapi.Leave {
	return engineapi.Leave{ID: s.options.ID, Incarnation: fleet.Incarnation(s.options.Incarnation)}
}
