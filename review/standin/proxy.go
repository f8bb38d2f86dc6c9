package main

import (
	"bytes"
	"cmp"
	"context"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// proxy carries the channels to one server. It can make those that are open go silent for good: no
// byte, acknowledgement or end passes any more in either direction, while new ones work.
type proxy struct {
	host     string // where it listens
	target   string
	listener net.Listener

	// trigger, if set, is called once for each request that has its text in the first bytes, after
	// these were passed on to the server.
	triggerText []byte
	trigger     func()

	mu    sync.Mutex // guards pairs
	pairs map[*channelPair]bool
}

// channelPair is one channel: the sender's half and the server's half.
type channelPair struct {
	sender, server net.Conn
	silent         bool // guarded by proxy.mu
}

func newProxy(host, target string) (*proxy, error) {
	plain := net.ListenConfig{}
	plain.SetMultipathTCP(false) // its sockets take no filter
	listener, err := plain.Listen(context.Background(), "tcp4", at(host, serverPort))
	if err != nil {
		return nil, err
	}
	p := &proxy{host: host, target: target, listener: listener, pairs: map[*channelPair]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		sender, err := p.listener.Accept()
		if err != nil {
			return // the case has ended
		}
		go p.carry(sender)
	}
}

func (p *proxy) carry(sender net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(sender)
		return
	}
	pair := &channelPair{sender: sender, server: server}
	p.mu.Lock()
	p.pairs[pair] = true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.forward(pair, sender, server) })
	wait.Go(func() { p.forward(pair, server, sender) })
	wait.Wait()
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}

// forward passes bytes on, and then the end of the channel as it came: closed or reset.
func (p *proxy) forward(pair *channelPair, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.isSilent(pair) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
			if p.trigger != nil && from == pair.sender && bytes.Contains(buffer[:n], p.triggerText) {
				p.trigger()
			}
		}
		if err == nil {
			continue
		}
		if p.isSilent(pair) {
			return
		}
		if bytes.Contains([]byte(err.Error()), []byte("reset")) {
			reset(to)
		}
		_ = to.Close() // from has ended
		return
	}
}

func (p *proxy) isSilent(pair *channelPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pair.silent
}

// silence makes all open channels silent and returns how many there are.
func (p *proxy) silence() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.silent = true
		for _, half := range []net.Conn{pair.sender, pair.server} {
			if err := dropAll(half); err != nil {
				return 0, err
			}
		}
	}
	return len(p.pairs), nil
}

// setDark makes the server's machine dark: its open channels go silent, and nobody gets an answer to
// a new one.
func (p *proxy) setDark() error {
	if _, err := p.silence(); err != nil {
		return err
	}
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	return filter(raw)
}

// dropPairs forgets the channels of a machine that was dark and is back.
func (p *proxy) dropPairs() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		reset(pair.sender)
		reset(pair.server)
	}
}

// dropAll has the kernel drop whatever arrives for a connection of this process, before TCP sees
// it, so that nothing is acknowledged and keep-alive probes get no answer.
func dropAll(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	return filter(raw)
}

// filter sets the filter that drops all.
func filter(raw syscall.RawConn) error {
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	return cmp.Or(err, optionErr)
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // fails only if it has ended
	_ = c.Close()
}
