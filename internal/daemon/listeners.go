package daemon

import (
	"net"

	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"

	"github.com/hyssopsail/hyssopsail/internal/config"
)

// listeners holds the open sockets of a daemon. Those of roles that the daemon
// doesn't have are nil.
type listeners struct {
	rpc          net.Listener
	callers      net.Listener
	endpoints    net.Listener
	operators    net.Listener
	byteCounters map[string]*byteCounters // by the listener's name
}

// openListeners opens the listeners that cfg names and writes the ports that the
// kernel chose back into cfg, so that the daemon advertises the actual ports.
func openListeners(cfg *config.Daemon) (listeners, error) {
	opened := listeners{byteCounters: make(map[string]*byteCounters)}
	slots := []struct {
		name     string
		settings *config.Listener
		listener *net.Listener
	}{
		{"rpc", &cfg.Listeners.RPC, &opened.rpc},
		{"callers", &cfg.Listeners.Callers, &opened.callers},
		{"endpoints", &cfg.Listeners.Endpoints, &opened.endpoints},
		{"operators", &cfg.Listeners.Operators, &opened.operators},
	}
	for _, slot := range slots {
		if slot.settings.Listen == "" {
			continue
		}
		listener, err := open(slot.settings, cfg.Bounds.Connections)
		if err != nil {
			opened.close()
			return listeners{}, trace.Wrap(err)
		}
		counted := countedListener{Listener: listener, counters: &byteCounters{}}
		opened.byteCounters[slot.name] = counted.counters
		*slot.listener = counted
	}
	return opened, nil
}

func open(settings *config.Listener, maxConnections int) (net.Listener, error) {
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "can't listen on %s", settings.Listen)
	}
	if settings.Advertise == settings.Listen {
		settings.Advertise = listener.Addr().String()
	}
	settings.Listen = listener.Addr().String()
	return netutil.LimitListener(listener, maxConnections), nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.rpc, l.callers, l.endpoints, l.operators} {
		if listener != nil {
			_ = listener.Close() // a failed close needs no handling
		}
	}
}
