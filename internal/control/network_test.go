package control

import (
	"context"
	"errors"
	"sync"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// network carries control calls in memory. A cut direction swallows what goes
// that way without a word, as a silent partition does.
type network struct {
	mu      sync.Mutex
	servers map[string]pb.DRPCControlServer
	cut     map[direction]bool
	bytes   int
	calls   int
}

type direction struct{ from, to string }

func newNetwork() *network {
	return &network{servers: map[string]pb.DRPCControlServer{}, cut: map[direction]bool{}}
}

func (n *network) add(address string, s pb.DRPCControlServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = s
}

// remove makes a server's process dead: its port refuses.
func (n *network) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, address)
}

func (n *network) server(address string) pb.DRPCControlServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[address]
}

// setCut cuts or heals one direction of each pair.
func (n *network) setCut(cut bool, from string, to ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range to {
		n.cut[direction{from, t}] = cut
	}
}

// sums gives the bytes and messages carried so far.
func (n *network) sums() (bytes, messages int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes, n.calls
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[direction{from, to}]
}

func (n *network) from(address string) rpc.Dialer { return &link{net: n, from: address} }

type link struct {
	net      *network
	from, to string
}

// Conn implements rpc.Dialer.
func (l *link) Conn(_ context.Context, address string) (drpc.Conn, error) {
	return &link{net: l.net, from: l.from, to: address}, nil
}

// Close implements drpc.Conn.
func (l *link) Close() error { return nil }

// Closed implements drpc.Conn.
func (l *link) Closed() <-chan struct{} { return nil }

// NewStream implements drpc.Conn.
func (l *link) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("no streams here")
}

// Invoke implements drpc.Conn.
func (l *link) Invoke(ctx context.Context, name string, enc drpc.Encoding, in, out drpc.Message) error {
	if l.net.isCut(l.from, l.to) {
		<-ctx.Done()
		return ctx.Err()
	}
	request := in.(proto.Message).ProtoReflect().New().Interface()
	if err := l.pass(enc, in, request); err != nil {
		return err
	}
	server := l.net.server(l.to)
	if server == nil {
		return errors.New("connection refused")
	}
	reply, err := receiver(name)(server, ctx, request, nil)
	if l.net.isCut(l.to, l.from) {
		<-ctx.Done()
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	return l.pass(enc, reply, out)
}

func (l *link) pass(enc drpc.Encoding, in, out drpc.Message) error {
	encoded, err := enc.Marshal(in)
	if err != nil {
		return err
	}
	l.net.mu.Lock()
	if _, consensus := in.(*pb.ConsensusMessage); !consensus {
		l.net.bytes += len(encoded)
		l.net.calls++
	}
	l.net.mu.Unlock()
	return enc.Unmarshal(encoded, out)
}

func receiver(name string) drpc.Receiver {
	for _, d := range []drpc.Description{pb.DRPCControlDescription{}, pb.DRPCConsensusDescription{}} {
		for n := range d.NumMethods() {
			method, _, receive, _, _ := d.Method(n)
			if method == name {
				return receive
			}
		}
	}
	return nil
}
