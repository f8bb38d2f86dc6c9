package engine

import (
	"context"
	"net"

	"github.com/hyssopsail/hyssopsail/internal/reachability"
	"github.com/hyssopsail/hyssopsail/internal/tcpdial"
)

// targetKey is the context key of the target of a call.
type targetKey struct{}

func withTarget(ctx context.Context, t Target) context.Context {
	return context.WithValue(ctx, targetKey{}, t)
}

// TargetFromContext returns the endpoint for which a connection is opened. It is for
// Options.Relay, which is told only the address; ok is false if there is none.
func TargetFromContext(ctx context.Context) (t Target, ok bool) {
	t, ok = ctx.Value(targetKey{}).(Target)
	return t, ok
}

// directDial returns the function that opens direct connections.
func directDial(o Options) func(ctx context.Context, address string) (net.Conn, error) {
	dial := o.Dial
	if dial == nil {
		dial = tcpdial.New(o.DialTimeout, o.LocalIP).DialContext
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
}

// guardedDial returns the transport's dial function: direct, or through the relay while a link
// is lost.
func guardedDial(o Options) func(context.Context, string, string) (net.Conn, error) {
	dialer := reachability.Dialer{Tracker: o.Reachability, Relay: o.Relay, Direct: directDial(o)}
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, over, err := dialer.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		guarded := &guardedConn{Conn: conn, link: over}
		if over != nil {
			guarded.acks = reachability.NewAckWatch(conn, func() { dialer.Suspect(over) })
		}
		return guarded, nil
	}
}
