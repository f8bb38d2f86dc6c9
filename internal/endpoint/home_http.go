package endpoint

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Limits of the body of one request of an endpoint.
const (
	maxBodyBytes = 1 << 20
	// bodyTimeout bounds its arrival. Endpoints give up on a call within seconds.
	bodyTimeout = 5 * time.Second
)

// Handler serves the endpoints' listener. Any entry accepts an announcement or
// heartbeat; only the home acts on it, the others reply with the home's
// address.
func (h *Home) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(h.authenticate)
	r.Post("/v1/endpoints/announce", h.serveAnnounce)
	r.Post("/v1/endpoints/heartbeat", h.serveHeartbeat)
	r.Post("/v1/endpoints/leave", h.serveLeave)
	r.Post("/v1/endpoints/cache-events", h.serveCacheEvents)
	return r
}

func (h *Home) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !bearer || h.options.CheckKey == nil || !h.options.CheckKey(key) {
			writeError(w, http.StatusUnauthorized, engineapi.CodeBadRequest, "unknown endpoint key")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

func (h *Home) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a engineapi.Announcement
	if !readBody(w, r, &a) {
		return
	}
	if err := h.checkAnnouncement(a); err != nil {
		writeError(w, http.StatusBadRequest, engineapi.CodeBadRequest, trace.UserMessage(err))
		return
	}
	ok := true
	reply, found := h.announceReply(a)
	h.step(func(c *core, now time.Time) {
		if c.isHomeFor(a) {
			var known *record
			known, ok = c.announce(now, a)
			reply.LastCacheSequence = known.cacheAfter()
		}
	})
	h.answerAnnounce(w, reply, found, ok)
}

func (h *Home) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	var b engineapi.Heartbeat
	if !readBody(w, r, &b) {
		return
	}
	if err := h.checkHeartbeat(b); err != nil {
		writeError(w, http.StatusBadRequest, engineapi.CodeBadRequest, trace.UserMessage(err))
		return
	}
	ok := true
	reply, found := h.announceReply(b.Announcement)
	h.step(func(c *core, now time.Time) {
		if c.isHomeFor(b.Announcement) {
			reply.Cancel, ok = c.heartbeat(now, b)
			reply.LastCacheSequence = c.endpoints[b.Announcement.ID].cacheAfter()
		} else {
			c.misdirectedHeartbeat(now, b)
		}
	})
	h.answerAnnounce(w, reply, found, ok)
}

// isHomeFor reports whether this instance is the home of the announced
// endpoint.
func (c *core) isHomeFor(a engineapi.Announcement) bool {
	if r, ok := c.endpoints[a.ID]; ok && r.announced.Zone == a.Zone {
		return c.isHome(r)
	}
	home, ok := fleet.HomeOf(a.ID, a.Zone, c.view)
	return ok && home.Owner() == c.self
}

func (r *record) cacheAfter() uint64 {
	if r == nil {
		return 0
	}
	return r.cache.sequence
}

func (h *Home) answerAnnounce(w http.ResponseWriter, reply engineapi.AnnounceReply, found, ok bool) {
	if !found {
		writeError(w, http.StatusServiceUnavailable, engineapi.CodeGone, "no entry in the view yet")
		return
	}
	if !ok {
		writeError(w, http.StatusConflict, engineapi.CodeStale, "a later incarnation is known, or too many endpoints")
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (h *Home) serveLeave(w http.ResponseWriter, r *http.Request) {
	var l engineapi.Leave
	if !readBody(w, r, &l) {
		return
	}
	if l.ID == "" || len(l.ID) > maxNameLen {
		writeError(w, http.StatusBadRequest, engineapi.CodeBadRequest, "id is missing or too long")
		return
	}
	writeJSON(w, http.StatusOK, engineapi.LeaveReply{HomeConfirmed: h.spreadLeave(r.Context(), l)})
}

func (h *Home) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	var e engineapi.CacheEvents
	if !readBody(w, r, &e) {
		return
	}
	var reply engineapi.CacheEventsReply
	h.step(func(c *core, _ time.Time) { reply.Resync = c.cacheEvents(e) })
	writeJSON(w, http.StatusOK, reply)
}

func (h *Home) checkHeartbeat(b engineapi.Heartbeat) error {
	if len(b.Held) > maxHeld {
		return trace.LimitExceeded("%d holds listed, at most %d", len(b.Held), maxHeld)
	}
	for _, held := range b.Held {
		if held.Attempt == "" || len(held.Attempt) > maxNameLen || len(held.Owner.Instance) > maxNameLen {
			return trace.BadParameter("held: attempt_id is missing or a name is too long")
		}
	}
	return h.checkAnnouncement(b.Announcement)
}

func (h *Home) checkAnnouncement(a engineapi.Announcement) error {
	if a.ID == "" || len(a.ID) > maxNameLen {
		return trace.BadParameter("id is missing or too long")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return trace.BadParameter("slots is %d, must be 1 to %d", a.Slots, maxSlots)
	}
	if len(a.Address) > maxNameLen || len(a.Service) > maxNameLen {
		return trace.BadParameter("address or service is too long")
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return trace.BadParameter("address is not host:port")
	}
	if err := checkModelsAndRole(a); err != nil {
		return err
	}
	return h.checkZone(a.Zone)
}

func checkModelsAndRole(a engineapi.Announcement) error {
	if len(a.Models) > maxModels {
		return trace.LimitExceeded("%d models, at most %d", len(a.Models), maxModels)
	}
	for _, m := range a.Models {
		if len(m.String()) > maxNameLen {
			return trace.BadParameter("a model's name is too long")
		}
	}
	switch a.Role {
	case fleet.RolePrefill, fleet.RoleDecode, fleet.RoleBoth:
		return nil
	case fleet.RolePlain:
		if a.Service == "" {
			return trace.BadParameter("role plain needs service")
		}
		return nil
	}
	return trace.BadParameter("role must be prefill, decode, both or plain")
}

// checkZone rejects a zone that the settings don't declare: no team can have
// permitted it.
func (h *Home) checkZone(zone fleet.AvailabilityZone) error {
	tree := h.options.Source.State().Tree
	if tree == nil || len(tree.Fleet.Zones) == 0 {
		return nil
	}
	for _, z := range tree.Fleet.Zones {
		if z.Name == zone {
			return nil
		}
	}
	return trace.BadParameter("availability_zone is not declared in the settings")
}

// readBody decodes a request's body. After an error, the deadline stays: the rest of the body may
// never arrive.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // only writers of tests know no deadlines
	err := decode(r.Body, into)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		writeError(w, http.StatusRequestEntityTooLarge, engineapi.CodeBadRequest, "body too large")
		return false
	}
	writeError(w, http.StatusBadRequest, engineapi.CodeBadRequest, "body is not the JSON asked for")
	return false
}

// decode reads one JSON value and rejects anything after it.
func decode(r io.Reader, into any) error {
	d := json.NewDecoder(r)
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		if err == nil {
			err = trace.BadParameter("more than one JSON value")
		}
		return err
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// If the reply can't be written, the reply to the next heartbeat replaces
	// it.
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, code engineapi.Code, message string) {
	writeJSON(w, status, engineapi.ErrorReply{Code: code, Message: message})
}
