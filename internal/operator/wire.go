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
	unmarshal = protojson.UnmarshalOptions{} // rejects unknown fields
	// unmarshalLenient decodes replies: a newer daemon may add fields.
	unmarshalLenient = protojson.UnmarshalOptions{DiscardUnknown: true}
)

// ErrorReply is the body of each response with status 400 or above that isn't a
// pb.ChangeReply.
type ErrorReply struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the cause of an error: Code for programs, Message for people.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// Code is the machine-readable cause of an error.
type Code string

// The error codes.
const (
	CodeUnauthorised Code = "unauthorised" // 401: no operator has this key
	CodeForbidden    Code = "forbidden"    // 403: out of the operator's scope
	CodeBadRequest   Code = "bad-request"  // 400
	CodeNotFound     Code = "not-found"    // 404
	CodeTooLarge     Code = "too-large"    // 413
	CodeExists       Code = "exists"       // 412: already done, such as init of an existing fleet
	CodeUnavailable  Code = "unavailable"  // 503: no leader, or no answer in time; retry
	CodeNotCurrent   Code = "not-current"  // 503: this instance can't confirm its settings; nothing was executed
	CodeInternal     Code = "internal"     // 500
)

// EndpointsReply lists the endpoints of the fleet.
type EndpointsReply struct {
	Endpoints []*pb.EndpointDigest
}

// rawList is the JSON encoding of a list of messages.
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
		if err := unmarshalLenient.Unmarshal(data, out[n]); err != nil {
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
