package memoryplan

import (
	"cmp"

	"github.com/hyssopsail/hyssopsail/internal/connguard"
)

// Instance is the machine of a process.
type Instance struct {
	MemoryMB    int // MiB; 0 if it is not known
	Descriptors int // that the process may have open; 0 if it is not known
}

const (
	defaultMemoryMB    = 256
	defaultDescriptors = 4096
	// fileDescriptors are those that are not for sockets.
	fileDescriptors = 200
	// idleDescriptorShare is the share of the descriptors for idle connections to endpoints.
	idleDescriptorShare = 0.125
)

const (
	// ownBytes is what the process holds without clients: its program, the runtime, the
	// configuration, and its view of the fleet. A daemon also keeps its time line.
	ownBytes       = 32 << 20
	ownDaemonBytes = 48 << 20
	// heapShare is the share of the memory that is the runtime's soft limit.
	heapShare = 0.6
)

// Bytes of one connection and of one request.
const (
	// SocketBytes bounds what the kernel buffers for a connection in each direction.
	SocketBytes = 16 << 10
	// connectionBytes is what a connection of HTTP holds: its goroutine and buffers, and what the
	// kernel has received for it.
	connectionBytes = 24 << 10
	// messageConnectionBytes is that of a connection for calls between processes, with the
	// part of a message that is free.
	messageConnectionBytes = 40 << 10
	// requestBytes is what an exchange with an endpoint holds beside the request's head and body:
	// its goroutines and state, the connection to the endpoint with the kernel's buffers, the
	// free parts of its reads, and what the kernel sends to the client.
	requestBytes = 80 << 10
	// secureBytes is what TLS adds to a connection.
	secureBytes = 24 << 10
	// callBytes is what a call that is answered here holds.
	callBytes = 16 << 10
	// scrapeBytes is what a scrape of the metrics holds.
	scrapeBytes = 32 << 10
	// Connections that wait to be accepted, where clients may come in a crowd after a failure of
	// other processes, and elsewhere.
	largeBacklog = 512
	smallBacklog = 64
	// tunnelBytes is what a tunnel holds: its buffer and its connection to the endpoint.
	tunnelBytes = 48 << 10
)

// Part is a part of the memory.
type Part string

// The parts. Those of clients are called like their listeners.
const (
	Own           Part = "own"
	Callers       Part = "callers"
	Readiness     Part = "readiness"
	Control       Part = "control"
	Addresses     Part = "addresses"
	Peers         Part = "peers"
	Tunnels       Part = "tunnels"
	Metrics       Part = "metrics"
	EndpointReads Part = "reads from endpoints"
	MemberReads   Part = "reads from members"
	RPC           Part = "rpc"
	Endpoints     Part = "endpoints"
	Operators     Part = "operators"
	Garbage       Part = "garbage"
)

// Plan is how the memory of an instance is divided.
type Plan struct {
	instance    int64 // bytes
	descriptors int   // for sockets
	connections int   // of clients
	clients     Clients
	parts       []Part
	bytes       map[Part]int64
	shares      map[Part]float64 // of the clients' part, by listener
}

// ForEntry returns the plan of an entry, which keeps descriptors for connections to endpoints.
func ForEntry(i Instance, c Clients) *Plan {
	p := newPlan(i, c, ownBytes, 0.6)
	p.divide(cmp.Or(c.MemoryShare, 0.25), []listenerShare{{Callers, 0.9}, {Readiness, 0.05}, {Metrics, 0.05}})
	p.add(Tunnels, 0.07)
	p.add(EndpointReads, 0.10)
	p.add(MemberReads, 0.08)
	p.add(Garbage, 0.2)
	p.shares[Tunnels] = 0.1
	return p
}

// ForControl returns the plan of a control instance.
func ForControl(i Instance, c Clients) *Plan {
	p := newPlan(i, c, ownBytes, 0.85)
	p.divide(cmp.Or(c.MemoryShare, 0.36), []listenerShare{{Control, 0.6}, {Addresses, 0.15}, {Peers, 0.2}, {Metrics, 0.05}})
	p.add(EndpointReads, 0.04)
	p.add(MemberReads, 0.10)
	p.add(Garbage, 0.2)
	return p
}

// ForDaemon returns the plan of a daemon, whatever its roles.
func ForDaemon(i Instance, c Clients) *Plan {
	p := newPlan(i, c, ownDaemonBytes, 0.6)
	p.divide(cmp.Or(c.MemoryShare, 0.24), []listenerShare{{Callers, 0.45}, {Endpoints, 0.1}, {Operators, 0.1}, {RPC, 0.35}})
	p.add(EndpointReads, 0.08)
	p.add(MemberReads, 0.06)
	p.add(Garbage, 0.18)
	return p
}

// listenerShare is the share of the clients' part that a listener has.
type listenerShare struct {
	listener Part
	share    float64
}

// newPlan returns a plan that has only the process's own part. Clients may have a share of the
// descriptors for connections.
func newPlan(i Instance, c Clients, own int64, connectionShare float64) *Plan {
	p := &Plan{
		instance: int64(cmp.Or(i.MemoryMB, defaultMemoryMB)) << 20, descriptors: max(fileDescriptors, cmp.Or(i.Descriptors, defaultDescriptors)-fileDescriptors),
		clients: c, parts: []Part{Own}, bytes: map[Part]int64{Own: own}, shares: map[Part]float64{},
	}
	p.connections = cmp.Or(c.Connections, int(connectionShare*float64(p.descriptors)))
	return p
}

func (p *Plan) add(part Part, share float64) {
	p.parts = append(p.parts, part)
	p.bytes[part] = int64(share * float64(p.instance))
}

func (p *Plan) divide(share float64, among []listenerShare) {
	for _, l := range among {
		p.add(l.listener, share*l.share)
		p.shares[l.listener] = l.share
	}
}

// Parts returns the parts in their order.
func (p *Plan) Parts() []Part { return p.parts }

// Bytes returns the bound of a part, bytes.
func (p *Plan) Bytes(part Part) int64 { return p.bytes[part] }

// Sum returns the sum of all parts, bytes.
func (p *Plan) Sum() int64 {
	sum := int64(0)
	for _, bytes := range p.bytes {
		sum += bytes
	}
	return sum
}

// Fits reports whether the sum of all parts is within the instance's memory.
func (p *Plan) Fits() bool { return p.Sum() <= p.instance }

// WarnUnlessFits logs a line if the parts don't fit: a setting lets clients have too much, or the instance is
// small.
func (p *Plan) WarnUnlessFits(warn func(message string, keyValues ...any)) {
	if !p.Fits() {
		warn("The bounds on memory add up to more than the instance has.", "bytes", p.Sum(), "memory", p.instance)
	}
}

// HeapLimit returns the soft limit of the runtime's memory, bytes.
func (p *Plan) HeapLimit() int64 { return int64(heapShare * float64(p.instance)) }

// IdleConnections returns how many idle connections to endpoints may be kept.
func (p *Plan) IdleConnections() int { return int(idleDescriptorShare * float64(p.descriptors)) }

// waitingCallShare is the share of the connections for calls between daemons that calls may hold which wait
// for long.
const waitingCallShare = 0.5

// WaitingCalls returns how many calls of other daemons may wait here for long, of all of them together.
func (p *Plan) WaitingCalls() int {
	l := p.SecureListener(RPC)
	return int(waitingCallShare * min(float64(l.Connections), connguard.MaxConnectionShare*float64(l.MemoryBytes)/float64(l.ConnectionBytes)))
}

// MaxTunnels returns how many tunnels there is memory for.
func (p *Plan) MaxTunnels() int {
	return int(p.bytes[Tunnels] / (messageConnectionBytes + tunnelBytes))
}

// Listener returns the limits of a listener's connections.
func (p *Plan) Listener(listener Part) connguard.Limits {
	l := p.clients.limits()
	l.MemoryBytes = p.bytes[listener]
	l.Connections = max(1, int(p.shares[listener]*float64(p.connections)))
	l.ConnectionBytes, l.RequestBytes, l.Backlog = connectionBytes, callBytes, smallBacklog
	switch listener {
	case Callers:
		l.RequestBytes, l.Backlog = requestBytes, largeBacklog
	case Control, Addresses:
		l.Backlog = largeBacklog
	case Metrics:
		l.RequestBytes = scrapeBytes
	case Tunnels:
		l = messages(l, tunnelBytes)
	case Peers, RPC:
		l = messages(l, 0)
	}
	return l
}

// messages returns the limits of connections for calls between processes.
func messages(l connguard.Limits, requestBytes int64) connguard.Limits {
	l.ConnectionBytes, l.RequestBytes = messageConnectionBytes, requestBytes
	l.ReceiveTimeout, l.IdleTimeout = receiveTimeout, idleTimeout
	return l
}

// SecureListener returns the limits of a listener whose connections are encrypted.
func (p *Plan) SecureListener(listener Part) connguard.Limits {
	l := p.Listener(listener)
	l.ConnectionBytes += secureBytes
	l.Encrypted = true
	return l
}
