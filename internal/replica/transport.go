package replica

import "github.com/hyssopsail/hyssopsail/internal/pb"

// Transport sends messages to other members. Send doesn't block and may drop a
// message, since the protocol retransmits. Neither side may modify the message
// after the call.
type Transport interface {
	Send(address string, m *pb.ConsensusMessage)
}
