package control

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// network carries control calls in memory. A cut direction swallows what goes
// that way without a word, as a silent partition does.
type network struct {
	servers sync.Map     // of pb.DRPCControlServer, by address
	cut     sync.Map     // of bool, by direction
	bytes   atomic.Int64 // carried so far, without the members' own
}

type direction struct{ from, to string }

func (n *network) add(address string, s pb.DRPCControlServer) { n.servers.Store(address, s) }

// remove makes a server's process dead: its port refuses.
func (n *network) remove(address string) { n.servers.Delete(address) }

// setCut cuts or heals one direction of each pair.
func (n *network) setCut(cut bool, from string, to ...string) {
	for _, t := range to {
		n.cut.Store(direction{from, t}, cut)
	}
}

func (n *network) isCut(from, to string) bool {
	cut, _ := n.cut.Load(direction{from, to})
	return cut == true
}

func (n *network) from(address string) rpc.Dialer { return &port{net: n, from: address} }

// port is one process' way into the network.
type port struct {
	net  *network
	from string
}

type link struct {
	drpc.Conn // no streams, never closed
	port
	to string
}

// Conn implements rpc.Dialer.
func (p *port) Conn(_ context.Context, address string) (drpc.Conn, error) {
	return &link{port: *p, to: address}, nil
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
	server, up := l.net.servers.Load(l.to)
	if !up {
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
	if _, consensus := in.(*pb.ConsensusMessage); !consensus {
		l.net.bytes.Add(int64(len(encoded)))
	}
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
