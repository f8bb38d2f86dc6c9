package testkit

import (
	"context"
	"errors"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// errRefused is the answer of an address that nobody serves.
var errRefused = errors.New("connection refused")

// Network carries the calls of one test's processes in memory, encoded as on a
// real one. A cut direction swallows what goes that way without a word, as a
// silent partition does. The zero value is ready.
type Network struct {
	mu      sync.Mutex
	servers map[string]server
	cut     map[direction]bool
	calls   map[string]int // by receiver
	bytes   int
	links   map[string]*link // by receiver
	hold    func(from, to, name string)
}

type server struct {
	implementation any
	descriptions   []drpc.Description
}

type direction struct{ from, to string }

// Serve makes an implementation of the descriptions answer at an address.
func (n *Network) Serve(address string, implementation any, descriptions ...drpc.Description) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.servers == nil {
		n.servers = make(map[string]server)
		n.calls = make(map[string]int)
	}
	n.servers[address] = server{implementation: implementation, descriptions: descriptions}
}

// Remove makes a server's process dead: its port refuses.
func (n *Network) Remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, address)
}

// SetCut cuts or heals the direction from one address to others.
func (n *Network) SetCut(cut bool, from string, to ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[direction]bool)
	}
	for _, t := range to {
		n.cut[direction{from, t}] = cut
	}
}

// SetRate gives the process at an address a link that brings it rate bytes a
// second, shared by all answers on their way to it. It counts for calls that
// begin later.
func (n *Network) SetRate(to string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = make(map[string]*link)
	}
	n.links[to] = newLink(rate)
}

// OnRequest calls do before each request of this kind leaves from; a nil do
// ends that. There is one do at a time.
func (n *Network) OnRequest(from, name string, do func(to string)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hold = func(sender, to, called string) {
		if do != nil && sender == from && strings.HasSuffix(called, name) {
			do(to)
		}
	}
}

// Calls counts the calls that were sent to a served address.
func (n *Network) Calls(to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[to]
}

// Bytes sums the requests and replies carried, in bytes.
func (n *Network) Bytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

// Dialer is the way of the process at an address to the others.
func (n *Network) Dialer(from string) rpc.Dialer { return dialer{network: n, from: from} }

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[direction{from, to}]
}

// pass carries a message, which shares nothing with what arrives.
func (n *Network) pass(enc drpc.Encoding, in, out drpc.Message) error {
	encoded, err := enc.Marshal(in)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.bytes += len(encoded)
	n.mu.Unlock()
	return enc.Unmarshal(encoded, out)
}

type dialer struct {
	network *Network
	from    string
}

// Conn implements rpc.Dialer.
func (d dialer) Conn(_ context.Context, address string) (drpc.Conn, error) {
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	if _, up := d.network.servers[address]; !up {
		return nil, errRefused
	}
	return &conn{network: d.network, from: d.from, to: address}, nil
}

// conn has unary calls alone; it is never closed.
type conn struct {
	drpc.Conn
	network  *Network
	from, to string
}

// Invoke implements drpc.Conn.
func (c *conn) Invoke(ctx context.Context, name string, enc drpc.Encoding, in, out drpc.Message) error {
	c.network.mu.Lock()
	to, up := c.network.servers[c.to]
	hold := c.network.hold
	link := c.network.links[c.from]
	if up {
		c.network.calls[c.to]++
	}
	c.network.mu.Unlock()
	if hold != nil {
		hold(c.from, c.to, name)
	}
	if c.network.isCut(c.from, c.to) {
		<-ctx.Done()
		return ctx.Err()
	}
	request := in.(proto.Message).ProtoReflect().New().Interface()
	if err := c.network.pass(enc, in, request); err != nil {
		return err
	}
	if !up {
		return errRefused
	}
	reply, err := to.call(ctx, name, request)
	if c.network.isCut(c.to, c.from) {
		<-ctx.Done()
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	if err := link.carry(ctx, proto.Size(reply.(proto.Message))); err != nil {
		return err
	}
	return c.network.pass(enc, reply, out)
}

func (s server) call(ctx context.Context, name string, request drpc.Message) (drpc.Message, error) {
	for _, d := range s.descriptions {
		for n := range d.NumMethods() {
			if method, _, receive, _, _ := d.Method(n); method == name {
				return receive(s.implementation, ctx, request, nil)
			}
		}
	}
	return nil, errors.New("no such method")
}
