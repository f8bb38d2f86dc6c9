package httpconn

import "time"

// opened takes in a connection, which tells the pool when it closes.
func (p *Pool) opened(c *conn) {
	c.openedAt = time.Now()
	c.closed = func() { p.forget(c) }
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.open[c.address]
	if list == nil {
		list = map[*conn]bool{}
		p.open[c.address] = list
	}
	list[c] = true
}

func (p *Pool) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open[c.address], c)
	if len(p.open[c.address]) == 0 {
		delete(p.open, c.address)
	}
}

// HasOpen tells whether a connection to address that was opened before a time is still open
// at both ends, as far as its kernel has heard. When an endpoint's process ends, none is.
func (p *Pool) HasOpen(address string, before time.Time) bool {
	for _, c := range p.olderThan(address, before) {
		if !c.broken.Load() && !c.hasEnded() {
			return true
		}
	}
	return false
}

func (p *Pool) olderThan(address string, before time.Time) []*conn {
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
