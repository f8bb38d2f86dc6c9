package operator

import (
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

func (h *handler) init(w http.ResponseWriter, r *http.Request, sender identity) error {
	if err := sender.checkInit(); err != nil {
		return err
	}
	var request pb.InitRequest
	if err := readBody(w, r, &request); err != nil {
		return err
	}
	if !settings.ValidName(request.FleetId) || len(request.Members) == 0 {
		return trace.BadParameter("init takes a fleet_id and at least one member")
	}
	reply, err := h.options.Control.Init(r.Context(), &request)
	if err != nil {
		return trace.Wrap(err)
	}
	h.options.Log.Info("Fleet initialised.", "fleet", reply.GetFleetId(), "members", len(request.Members))
	h.writeMessage(w, http.StatusOK, reply)
	return nil
}

func (h *handler) status(w http.ResponseWriter, r *http.Request, _ identity) error {
	reply, err := h.options.Control.Status(r.Context(), &pb.StatusRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	h.writeMessage(w, http.StatusOK, reply)
	return nil
}

func (h *handler) disk(w http.ResponseWriter, r *http.Request, sender identity) error {
	if err := sender.checkInit(); err != nil {
		return err
	}
	reply, err := h.options.Control.DiskIdentity(r.Context(), &pb.StatusRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	h.writeMessage(w, http.StatusOK, reply)
	return nil
}

func (h *handler) changeMember(w http.ResponseWriter, r *http.Request, sender identity) error {
	var request pb.ChangeMemberRequest
	if err := sender.readFleetRequest(w, r, &request); err != nil {
		return err
	}
	if request.GetMember().GetInstanceId() == "" {
		return trace.BadParameter("member.instance_id is missing")
	}
	reply, err := h.options.Control.ChangeMember(r.Context(), &request)
	if err != nil {
		return trace.Wrap(err)
	}
	h.options.Log.Info("Control group changed.", "member", request.Member.InstanceId, "remove", request.Remove, "author", sender.operator.Name)
	h.writeMessage(w, http.StatusOK, reply)
	return nil
}

func (h *handler) drain(w http.ResponseWriter, r *http.Request, sender identity) error {
	var request pb.DrainRequest
	if err := sender.readFleetRequest(w, r, &request); err != nil {
		return err
	}
	if request.InstanceId == "" {
		return trace.BadParameter("instance_id is missing")
	}
	reply, err := h.options.Control.Drain(r.Context(), &request)
	if err != nil {
		return trace.Wrap(err)
	}
	h.options.Log.Info("Drain requested.", "instance", request.InstanceId, "author", sender.operator.Name)
	h.writeMessage(w, http.StatusOK, reply)
	return nil
}

func (h *handler) endpoints(w http.ResponseWriter, r *http.Request, _ identity) error {
	digests, err := h.options.Endpoints(r.Context())
	if err != nil {
		return trace.Wrap(err)
	}
	h.writeJSON(w, EndpointsReply{Endpoints: digests})
	return nil
}

// maxTimelineEvents limits the events of one reply.
const maxTimelineEvents = 10_000

func (h *handler) timeline(w http.ResponseWriter, r *http.Request, sender identity) error {
	query, err := timelineQuery(r)
	if err != nil {
		return err
	}
	// An operator without the fleet's scope may only read the events of a team in its scope.
	if !sender.bootstrap && sender.checkFleetScope() != nil {
		if err := sender.checkScope(settings.TeamSubtree(fleet.Team(query.Team))); err != nil {
			return trace.AccessDenied("operator %s may only see the time line of a team in its scope: name the team", sender.operator.Name)
		}
	}
	reply, err := h.options.Timeline(r.Context(), query)
	if err != nil {
		return trace.Wrap(err)
	}
	h.writeJSON(w, reply)
	return nil
}

func timelineQuery(r *http.Request) (*pb.TimelineQuery, error) {
	values := r.URL.Query()
	query := &pb.TimelineQuery{
		RequestId:  values.Get("request"),
		EndpointId: values.Get("endpoint"),
		Team:       values.Get("team"),
		ChangeId:   values.Get("change"),
	}
	since, err := parseOptionalUint(values.Get("since_ns"))
	if err != nil {
		return nil, err
	}
	after, err := parseOptionalUint(values.Get("after"))
	if err != nil {
		return nil, err
	}
	limit, err := parseOptionalUint(values.Get("limit"))
	if err != nil || limit > maxTimelineEvents {
		return nil, trace.BadParameter("limit must be a number up to %d", maxTimelineEvents)
	}
	query.SinceNs, query.AfterSequence, query.Limit = since, after, uint32(limit)
	return query, nil
}

func parseOptionalUint(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, trace.BadParameter("%q is not a number", text)
	}
	return value, nil
}
