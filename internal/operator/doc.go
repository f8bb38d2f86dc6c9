// Package operator is the operators' HTTP interface: the daemon's handler and
// the tool's client. Bodies are JSON: messages of package pb with their proto
// field names. Requests carry the operator's key in "Authorization: Bearer"; the
// settings define the key's scope.
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
// An error is answered with an ErrorReply. Changes carry a change ID, so that a client
// that lost the reply may repeat a change through any instance.
package operator
