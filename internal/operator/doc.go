// Package operator is the operators' HTTP interface: the daemon's handler and
// the tool's client. Bodies are JSON, messages of package pb in their proto
// names. Authorization: Bearer with the operator's key, whose scope the
// settings give.
//
//	POST /v1/init        pb.InitRequest         -> pb.InitReply
//	GET  /v1/status                             -> pb.StatusReply
//	GET  /v1/settings    ?name=&version=&history=true -> pb.GetSettingsReply
//	POST /v1/settings    pb.ChangeRequest       -> pb.ChangeReply (200, 409 conflict, 422 invalid)
//	POST /v1/members     pb.ChangeMemberRequest -> pb.ChangeMemberReply
//	GET  /v1/disk                               -> pb.Member
//	POST /v1/drain       pb.DrainRequest        -> pb.DrainReply
//	POST /v1/orders      pb.OrderEndpointRequest -> pb.OrderEndpointReply
//	GET  /v1/endpoints                          -> EndpointsReply
//	GET  /v1/timeline    ?request=&endpoint=&team=&change=&since_ns=&after=&limit= -> TimelineReply
//
// A refusal is an ErrorReply. Changes carry a change ID, so that a client may
// send one again through any instance after losing the reply.
package operator
