package control

import "github.com/hyssopsail/hyssopsail/internal/pb"

// Refusals of commands and calls; see pb.CommandResult and
// pb.RenewLeaseReply.
const (
	refusalMalformed      = "malformed"
	refusalIncarnation    = "incarnation"
	refusalIssuer         = "issuer"
	refusalOrderID        = "order-id"
	refusalUnknown        = "unknown"
	refusalFull           = "full"
	refusalNotLeader      = "not-leader"
	refusalNotInitialised = "not-initialised"
)

// RefusalIncarnation is the refusal of a lease to a process that was replaced by
// a later incarnation or has been expired: it must stop.
const RefusalIncarnation = refusalIncarnation

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }

func validInstance(i *pb.InstanceRecord) bool {
	if !validName(i.GetId()) || !validName(i.GetAvailabilityZone()) || i.GetIncarnation() == 0 {
		return false
	}
	addresses := []string{i.GetRpcAddress(), i.GetCallerAddress(), i.GetEndpointAddress(), i.GetOperatorAddress()}
	for _, a := range addresses {
		if len(a) > maxNameBytes {
			return false
		}
	}
	return true
}
