package httpconn

import (
	"context"
	"errors"
	"syscall"
	"time"
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
// all its connections close.
func (p *Pool) HasOpen(address string, before time.Time) bool {
	for _, c := range p.openedBefore(address, before) {
		if !c.isClosed.Load() && !c.peerClosed() {
			return true
		}
	}
	return false
}

// IsRefused reports whether a new connection to address is refused. One that is opened is
// kept for reuse.
func (p *Pool) IsRefused(ctx context.Context, address string) bool {
	dialer := p.dialer()
	dialer.AskAgain = true
	c, err := p.dialWith(ctx, dialer, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.putIdle(c, 0)
	return false
}

// EndWithLostLinks ends the requests that don't outlast their link, over links that are lost.
func (p *Pool) EndWithLostLinks() {
	for _, c := range p.openedBefore("", time.Now()) {
		if c.endsWithLink.Load() && !c.isRelayed() && !p.Reachability.Link(c.address).CarriesOpen() {
			c.linkLost.Store(true)
			c.close()
		}
	}
}

// openedBefore returns the connections to an address, or to all if it is empty, that were
// opened before a time.
func (p *Pool) openedBefore(address string, before time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	lists := map[string]map[*conn]bool{address: p.open[address]}
	if address == "" {
		lists = p.open
	}
	var older []*conn
	for _, list := range lists {
		for c := range list {
			if c.openedAt.Before(before) {
				older = append(older, c)
			}
		}
	}
	return older
}
