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

// errRefused is returned for an address without a server.
var errRefused = errors.New("connection refused")

// Network simulates the network between the processes of one test. Calls are carried in
// memory and encoded as on a real network. Messages in a cut direction are dropped and the
// call waits until its context ends, as in a network partition. The zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	servers   map[string]server
	cut       map[direction]bool
	calls     map[string]int // by receiver
	bytes     int
	links     map[string]*link // by receiver
	onRequest func(from, to, method string)
}

type server struct {
	implementation any
	descriptions   []drpc.Description
}

type direction struct{ from, to string }

// Serve registers an implementation of the described services at an address.
func (n *Network) Serve(address string, implementation any, descriptions ...drpc.Description) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.servers == nil {
		n.servers = make(map[string]server)
		n.calls = make(map[string]int)
	}
	n.servers[address] = server{implementation: implementation, descriptions: descriptions}
}

// Remove removes the server at an address, as if its process had ended: connections are
// refused.
func (n *Network) Remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, address)
}

// SetCut cuts or restores the direction from one address to others.
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

// SetLinkRate limits the replies to the process at an address to bytesPerSecond, shared by all
// replies in transfer to it. It applies to calls that begin later.
func (n *Network) SetLinkRate(to string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = make(map[string]*link)
	}
	n.links[to] = newLink(bytesPerSecond)
}

// OnRequest calls do before each request from an address whose method name ends with name.
// It replaces the do of an earlier call; a nil do removes it.
func (n *Network) OnRequest(from, name string, do func(to string)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onRequest = func(sender, to, called string) {
		if do != nil && sender == from && strings.HasSuffix(called, name) {
			do(to)
		}
	}
}

// CallCount returns the number of calls sent to an address while it had a server.
func (n *Network) CallCount(to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[to]
}

// BytesCarried returns the total encoded size of the requests and replies carried.
func (n *Network) BytesCarried() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

// Dialer returns the dialer of the process at an address.
func (n *Network) Dialer(from string) rpc.Dialer { return dialer{network: n, from: from} }

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[direction{from, to}]
}

// transmit copies in to out by encoding and decoding it, so that they share no memory.
func (n *Network) transmit(enc drpc.Encoding, in, out drpc.Message) error {
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

// conn supports unary calls only; it is never closed.
type conn struct {
	drpc.Conn
	network  *Network
	from, to string
}

// Invoke implements drpc.Conn.
func (c *conn) Invoke(ctx context.Context, name string, enc drpc.Encoding, in, out drpc.Message) error {
	c.network.mu.Lock()
	to, up := c.network.servers[c.to]
	onRequest := c.network.onRequest
	link := c.network.links[c.from]
	if up {
		c.network.calls[c.to]++
	}
	c.network.mu.Unlock()
	if onRequest != nil {
		onRequest(c.from, c.to, name)
	}
	if c.network.isCut(c.from, c.to) {
		<-ctx.Done()
		return ctx.Err()
	}
	request := in.(proto.Message).ProtoReflect().New().Interface()
	if err := c.network.transmit(enc, in, request); err != nil {
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
	if err := link.transfer(ctx, proto.Size(reply.(proto.Message))); err != nil {
		return err
	}
	return c.network.transmit(enc, reply, out)
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
