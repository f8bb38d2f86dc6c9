package fleet

import (
	"fmt"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Owner identifies a daemon process: an instance at one incarnation. Every hold
// of engine memory and every outcome record names its owner.
type Owner struct {
	Instance    InstanceID  `json:"instance"`
	Incarnation Incarnation `json:"incarnation"`
}

// String returns "instance/incarnation".
func (o Owner) String() string {
	return fmt.Sprintf("%s/%d", o.Instance, o.Incarnation)
}

// Proto converts o for messages between processes.
func (o Owner) Proto() *pb.Owner {
	return &pb.Owner{InstanceId: string(o.Instance), Incarnation: uint64(o.Incarnation)}
}

// OwnerFromProto converts a message's owner; for nil it returns the zero Owner.
func OwnerFromProto(p *pb.Owner) Owner {
	return Owner{Instance: InstanceID(p.GetInstanceId()), Incarnation: Incarnation(p.GetIncarnation())}
}
