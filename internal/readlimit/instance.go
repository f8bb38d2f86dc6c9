package readlimit

import "cmp"

const (
	// memoryShare is the share of the instance's memory that unfinished reads from peers of one
	// kind may hold together. All kinds together stay below half of it; the copies that buffers make as
	// they grow come on top.
	memoryShare = 0.125
	// headMemoryShare is that share for the heads of requests.
	headMemoryShare = 0.0625
	// endpointShare is the share of the memory for reads from endpoints that one endpoint may
	// hold: a few faulty ones leave memory for the others.
	endpointShare = 0.25
	// freeBytes and freeHeadBytes are what each read, and each head of a request, may hold
	// whatever others do; most are smaller.
	freeBytes     = 16 << 10
	freeHeadBytes = 4 << 10
	// defaultMemoryMB is the instance's memory where it is not known, MiB.
	defaultMemoryMB = 256
)

// Instance makes the Guards of a process by the memory of its instance.
type Instance struct {
	MemoryMB int                                    // 0 if it is not known
	Warn     func(message string, keyValues ...any) // as in GuardOptions
	Metrics  *Metrics
}

// Guard returns the Guard of reads from peers of one kind.
func (i Instance) Guard(peers PeerKind) *Guard {
	o := GuardOptions{Peers: peers, FreeBytes: freeBytes}
	if peers == Endpoints {
		o.PeerShare = endpointShare
	}
	return i.newGuard(o, memoryShare)
}

// HeadGuard returns the Guard of heads of requests.
func (i Instance) HeadGuard() *Guard {
	return i.newGuard(GuardOptions{Peers: Callers, FreeBytes: freeHeadBytes}, headMemoryShare)
}

func (i Instance) newGuard(o GuardOptions, share float64) *Guard {
	memory := cmp.Or(i.MemoryMB, defaultMemoryMB) << 20
	o.MemoryBytes, o.Warn, o.Metrics = int64(share*float64(memory)), i.Warn, i.Metrics
	return NewGuard(o)
}
