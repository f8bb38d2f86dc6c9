package replica

import "github.com/hyssopsail/hyssopsail/internal/pb"

// Transport sends messages to other members. Send doesn't wait and may drop:
// the protocol sends again what matters. The message must not be changed
// after the call by either side.
type Transport interface {
	Send(address string, m *pb.ConsensusMessage)
}
