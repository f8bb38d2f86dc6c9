package httpconn

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/reachability"
)

// register adds an open connection to the pool; closing the connection removes it.
func (p *Pool) register(c *conn) {
	c.openedAt = time.Now()
	c.onClose = func() { p.unregister(c) }
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.open[c.address]
	if list == nil {
		list = map[*conn]bool{}
		p.open[c.address] = list
	}
	list[c] = true
}

func (p *Pool) unregister(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open[c.address], c)
	if len(p.open[c.address]) == 0 {
		delete(p.open, c.address)
	}
}

// HasOpen reports whether a connection to address that was opened before the given time is
// still open at both ends, as far as the local kernel knows. When an endpoint's process ends,
// all its connections close, which doesn't show over a lost link.
func (p *Pool) HasOpen(address string, before time.Time) bool {
	showsEnds := p.Reachability.Link(address).ShowsEnds()
	return p.hasOpen(address, before, func(c *conn) bool { return showsEnds || c.isRelayed() })
}

// HasOpenDirect is HasOpen without the connections through the relay: their end doesn't show
// while the relay is silent.
func (p *Pool) HasOpenDirect(address string, before time.Time) bool {
	showsEnds := p.Reachability.Link(address).ShowsEnds()
	return p.hasOpen(address, before, func(c *conn) bool { return showsEnds && !c.isRelayed() })
}

func (p *Pool) hasOpen(address string, before time.Time, counts func(c *conn) bool) bool {
	for _, c := range p.openedBefore(address, before) {
		if counts(c) && !c.isClosed.Load() && !c.peerClosed() {
			return true
		}
	}
	return false
}

// Probe opens a connection to address, directly or through the relay, and keeps it for reuse.
// reachability.LossOfDial tells what an error means.
func (p *Pool) Probe(ctx context.Context, address string) error {
	dialer := p.dialer()
	dialer.AskAgain = true
	err := p.tryConnection(ctx, dialer, address)
	if err != nil && dialer.Relay != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		dialer.Relay = nil // it may not have answered in time
		err = p.tryConnection(ctx, dialer, address)
	}
	return err
}

// tryConnection opens a connection and keeps it for reuse.
func (p *Pool) tryConnection(ctx context.Context, dialer reachability.Dialer, address string) error {
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	c, err := p.dialWith(ctx, dialer, address)
	if err != nil {
		return err
	}
	p.putIdle(c, 0)
	return nil
}

// IsUnanswered reports whether a new direct connection to address gets no answer. One that is
// opened is kept for reuse.
func (p *Pool) IsUnanswered(ctx context.Context, address string) bool {
	dialer := p.dialer()
	dialer.Relay = nil
	return reachability.LossOfDial(p.tryConnection(ctx, dialer, address)) == reachability.Unanswered
}

func (p *Pool) openedBefore(address string, before time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var older []*conn
	for c := range p.open[address] {
		if c.openedAt.Before(before) {
			older = append(older, c)
		}
	}
	return older
}
