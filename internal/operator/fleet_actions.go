package operator

import (
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

func (h *handler) init(w http.ResponseWriter, r *http.Request, who identity) error {
	if err := who.mayInit(); err != nil {
		return err
	}
	var request pb.InitRequest
	if err := read(w, r, &request); err != nil {
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
	h.message(w, http.StatusOK, reply)
	return nil
}

func (h *handler) status(w http.ResponseWriter, r *http.Request, _ identity) error {
	reply, err := h.options.Control.Status(r.Context(), &pb.StatusRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	h.message(w, http.StatusOK, reply)
	return nil
}

func (h *handler) disk(w http.ResponseWriter, r *http.Request, who identity) error {
	if err := who.mayInit(); err != nil {
		return err
	}
	reply, err := h.options.Control.DiskIdentity(r.Context(), &pb.StatusRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	h.message(w, http.StatusOK, reply)
	return nil
}

func (h *handler) changeMember(w http.ResponseWriter, r *http.Request, who identity) error {
	var request pb.ChangeMemberRequest
	if err := who.readForFleet(w, r, &request); err != nil {
		return err
	}
	if request.GetMember().GetInstanceId() == "" {
		return trace.BadParameter("member.instance_id is missing")
	}
	reply, err := h.options.Control.ChangeMember(r.Context(), &request)
	if err != nil {
		return trace.Wrap(err)
	}
	h.options.Log.Info("Control group changed.", "member", request.Member.InstanceId, "remove", request.Remove, "author", who.operator.Name)
	h.message(w, http.StatusOK, reply)
	return nil
}

func (h *handler) drain(w http.ResponseWriter, r *http.Request, who identity) error {
	var request pb.DrainRequest
	if err := who.readForFleet(w, r, &request); err != nil {
		return err
	}
	if request.InstanceId == "" {
		return trace.BadParameter("instance_id is missing")
	}
	reply, err := h.options.Control.Drain(r.Context(), &request)
	if err != nil {
		return trace.Wrap(err)
	}
	h.options.Log.Info("Drain asked.", "instance", request.InstanceId, "author", who.operator.Name)
	h.message(w, http.StatusOK, reply)
	return nil
}

func (h *handler) endpoints(w http.ResponseWriter, r *http.Request, _ identity) error {
	digests, err := h.options.Endpoints(r.Context())
	if err != nil {
		return trace.Wrap(err)
	}
	h.json(w, EndpointsReply{Endpoints: digests})
	return nil
}

// maxTimeline bounds the events of one answer.
const maxTimeline = 10_000

func (h *handler) timeline(w http.ResponseWriter, r *http.Request, who identity) error {
	query, err := timelineQuery(r)
	if err != nil {
		return err
	}
	// A team's operator sees that team's events alone.
	if !who.bootstrap && who.ownsFleet() != nil {
		if err := who.covers(settings.TeamSubtree(fleet.Team(query.Team))); err != nil {
			return trace.AccessDenied("operator %s may only see the time line of a team in its scope: name the team", who.operator.Name)
		}
	}
	reply, err := h.options.Timeline(r.Context(), query)
	if err != nil {
		return trace.Wrap(err)
	}
	h.json(w, reply)
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
	since, err := number(values.Get("since_ns"))
	if err != nil {
		return nil, err
	}
	after, err := number(values.Get("after"))
	if err != nil {
		return nil, err
	}
	limit, err := number(values.Get("limit"))
	if err != nil || limit > maxTimeline {
		return nil, trace.BadParameter("limit must be a number up to %d", maxTimeline)
	}
	query.SinceNs, query.AfterSequence, query.Limit = since, after, uint32(limit)
	return query, nil
}

func number(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, trace.BadParameter("%q is not a number", text)
	}
	return value, nil
}
