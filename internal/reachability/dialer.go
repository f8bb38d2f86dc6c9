package reachability

import (
	"context"
	"net"
	"time"
)

const (
	// relayAfter is how long a direct connection may take before a relay is asked; an endpoint
	// in reach answers within milliseconds.
	relayAfter = 150 * time.Millisecond
	// probeInterval is the time between two direct connections that are tried over a link to
	// find out whether it works.
	probeInterval = time.Second
)

// Relay opens connections to endpoints through another process.
type Relay interface {
	// Dial opens a connection. If it returns an error, no byte was sent to the endpoint, nor
	// will be.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// IsEndpointFailure reports whether an error of Dial tells of the endpoint, and not of
	// the relay.
	IsEndpointFailure(err error) bool
}

// Dialer opens connections to endpoints, directly or, over lost links, through a relay.
type Dialer struct {
	Tracker *Tracker
	// Direct opens a direct connection.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Relay is used for lost links; nil for none.
	Relay Relay
	// Keep takes a direct connection that was opened to find out whether a link works; nil
	// closes it.
	Keep func(address string, conn net.Conn, over *Link)
	// AskAgain asks the relay also if it has just told that it can't reach the endpoint.
	AskAgain bool
}

// Dial opens a connection. over is the link of a direct connection, nil for one through the
// relay.
func (d *Dialer) Dial(ctx context.Context, address string) (conn net.Conn, over *Link, err error) {
	l := d.Tracker.Link(address)
	if d.Relay == nil {
		return d.dialDirect(ctx, l)
	}
	if l.Loss() != NotLost {
		return d.dialLost(ctx, l)
	}
	direct, cancel := context.WithTimeout(ctx, relayAfter)
	defer cancel()
	conn, over, err = d.dialDirect(direct, l)
	if err == nil || LossOfDial(err) == NotLost || ctx.Err() != nil {
		return conn, over, err
	}
	relayed, relayErr := d.dialRelayed(ctx, l)
	if relayErr != nil {
		return nil, nil, err
	}
	return relayed, nil, nil
}

// dialLost opens a connection while the link is lost. A relay that can't be had leaves the
// direct way.
func (d *Dialer) dialLost(ctx context.Context, l *Link) (net.Conn, *Link, error) {
	d.Suspect(l)
	conn, err := d.dialRelayed(ctx, l)
	if err == nil {
		return conn, nil, nil
	}
	if d.Relay.IsEndpointFailure(err) || ctx.Err() != nil {
		return nil, nil, err
	}
	return d.dialDirect(ctx, l)
}

// dialRelayed asks the relay, unless it has just told that the endpoint can't be reached.
func (d *Dialer) dialRelayed(ctx context.Context, l *Link) (net.Conn, error) {
	if err := l.relayFailure(time.Now()); err != nil && !d.AskAgain {
		return nil, err
	}
	conn, err := d.Relay.Dial(ctx, l.address)
	if err != nil && d.Relay.IsEndpointFailure(err) {
		l.recordRelayFailure(time.Now(), err)
	}
	if err == nil {
		d.Tracker.metrics.relayed.Inc()
	}
	return conn, err
}

// DialDirect opens a direct connection, whatever is known of the link.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, _, err := d.dialDirect(ctx, d.Tracker.Link(address))
	return conn, err
}

func (d *Dialer) dialDirect(ctx context.Context, l *Link) (net.Conn, *Link, error) {
	began := time.Now()
	conn, err := d.Direct(ctx, l.address)
	if err != nil {
		l.recordDialFailure(began, err)
		return nil, nil, err
	}
	l.Opened(time.Now())
	return conn, l, nil
}

// Suspect has a direct connection tried beside requests to find out whether a link works.
func (d *Dialer) Suspect(l *Link) {
	if l.beginProbe(time.Now()) {
		go d.probe(l)
	}
}

// probe tries a direct connection.
func (d *Dialer) probe(l *Link) {
	ctx, cancel := context.WithTimeout(context.Background(), relayAfter)
	defer cancel()
	conn, _, err := d.dialDirect(ctx, l)
	switch {
	case err != nil:
	case d.Keep == nil:
		_ = conn.Close() // nothing was sent over it
	default:
		d.Keep(l.address, conn, l)
	}
}
