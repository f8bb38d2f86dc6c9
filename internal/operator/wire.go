package operator

import (
	"encoding/json"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

var (
	marshal   = protojson.MarshalOptions{UseProtoNames: true}
	unmarshal = protojson.UnmarshalOptions{} // unknown fields are refused
	// lenient reads replies: a newer daemon may add fields.
	lenient = protojson.UnmarshalOptions{DiscardUnknown: true}
)

// ErrorReply is the body of each answer of 400 or more that isn't a
// pb.ChangeReply.
type ErrorReply struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells the cause to a machine and to a person.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// Code is the machine-readable cause of a refusal.
type Code string

// The codes.
const (
	CodeUnauthorised Code = "unauthorised" // 401: no operator has this key
	CodeForbidden    Code = "forbidden"    // 403: out of the operator's scope
	CodeBadRequest   Code = "bad-request"  // 400
	CodeNotFound     Code = "not-found"    // 404
	CodeTooLarge     Code = "too-large"    // 413
	CodeExists       Code = "exists"       // 412: already done, such as init of a fleet that is
	CodeUnavailable  Code = "unavailable"  // 503: no leader, or not in time; ask again
	CodeNotCurrent   Code = "not-current"  // 503: this instance can't confirm its settings; nothing was tried
	CodeInternal     Code = "internal"     // 500
)

// EndpointsReply lists the endpoints of the fleet.
type EndpointsReply struct {
	Endpoints []*pb.EndpointDigest
}

// rawList is the JSON form of a list of messages.
type rawList []json.RawMessage

func encodeList[M proto.Message](messages []M) (rawList, error) {
	out := make(rawList, len(messages))
	for n, message := range messages {
		data, err := marshal.Marshal(message)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		out[n] = data
	}
	return out, nil
}

func decodeList[M proto.Message](raw rawList, empty func() M) ([]M, error) {
	out := make([]M, len(raw))
	for n, data := range raw {
		out[n] = empty()
		if err := lenient.Unmarshal(data, out[n]); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return out, nil
}

type endpointsJSON struct {
	Endpoints rawList `json:"endpoints"`
}

// MarshalJSON implements json.Marshaler.
func (r EndpointsReply) MarshalJSON() ([]byte, error) {
	list, err := encodeList(r.Endpoints)
	if err != nil {
		return nil, err
	}
	return json.Marshal(endpointsJSON{list})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *EndpointsReply) UnmarshalJSON(data []byte) (err error) {
	var raw endpointsJSON
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	r.Endpoints, err = decodeList(raw.Endpoints, func() *pb.EndpointDigest { return &pb.EndpointDigest{} })
	return err
}

type timelineJSON struct {
	Events      rawList  `json:"events"`
	Unreachable []string `json:"unreachable,omitempty"`
	Dropped     uint64   `json:"dropped"`
}

// MarshalJSON implements json.Marshaler.
func (r TimelineReply) MarshalJSON() ([]byte, error) {
	list, err := encodeList(r.Events)
	if err != nil {
		return nil, err
	}
	return json.Marshal(timelineJSON{list, r.Unreachable, r.Dropped})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *TimelineReply) UnmarshalJSON(data []byte) (err error) {
	var raw timelineJSON
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	r.Unreachable, r.Dropped = raw.Unreachable, raw.Dropped
	r.Events, err = decodeList(raw.Events, func() *pb.TimelineEvent { return &pb.TimelineEvent{} })
	return err
}
