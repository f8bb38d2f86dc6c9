package fleet

import "github.com/hyssopsail/hyssopsail/internal/pb"

// Instance is one daemon of the fleet, as recorded in a View.
type Instance struct {
	ID              InstanceID
	Incarnation     Incarnation
	Zone            AvailabilityZone
	RPCAddress      string // host:port for calls between processes
	CallerAddress   string // host:port for callers; empty without the entry role
	EndpointAddress string // host:port where endpoints announce themselves
	OperatorAddress string // host:port for operators
	Entry           bool
	Control         bool
	Draining        bool // accepts no new callers, but finishes its requests
}

// Owner returns the process that i describes.
func (i Instance) Owner() Owner {
	return Owner{Instance: i.ID, Incarnation: i.Incarnation}
}

// Proto converts i for messages between processes.
func (i Instance) Proto() *pb.InstanceRecord {
	return &pb.InstanceRecord{
		Id:               string(i.ID),
		Incarnation:      uint64(i.Incarnation),
		AvailabilityZone: string(i.Zone),
		RpcAddress:       i.RPCAddress,
		CallerAddress:    i.CallerAddress,
		EndpointAddress:  i.EndpointAddress,
		OperatorAddress:  i.OperatorAddress,
		Entry:            i.Entry,
		Control:          i.Control,
		Draining:         i.Draining,
	}
}

// InstanceFromProto converts an instance from a message between processes.
func InstanceFromProto(p *pb.InstanceRecord) Instance {
	return Instance{
		ID:              InstanceID(p.GetId()),
		Incarnation:     Incarnation(p.GetIncarnation()),
		Zone:            AvailabilityZone(p.GetAvailabilityZone()),
		RPCAddress:      p.GetRpcAddress(),
		CallerAddress:   p.GetCallerAddress(),
		EndpointAddress: p.GetEndpointAddress(),
		OperatorAddress: p.GetOperatorAddress(),
		Entry:           p.GetEntry(),
		Control:         p.GetControl(),
		Draining:        p.GetDraining(),
	}
}
