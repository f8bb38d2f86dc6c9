package daemon

import (
	"net"

	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"

	"github.com/hyssopsail/hyssopsail/internal/config"
)

// listeners are the open sockets of a daemon; those of roles that it doesn't
// have are nil.
type listeners struct {
	rpc       net.Listener
	callers   net.Listener
	endpoints net.Listener
	operators net.Listener
	traffic   map[string]*traffic // by the listener's name
}

// openListeners opens what the file names and writes the ports that the
// kernel chose back into it, so that the daemon advertises what it got.
func openListeners(file *config.Daemon) (listeners, error) {
	opened := listeners{traffic: make(map[string]*traffic)}
	slots := []struct {
		name     string
		settings *config.Listener
		listener *net.Listener
	}{
		{"rpc", &file.Listeners.RPC, &opened.rpc},
		{"callers", &file.Listeners.Callers, &opened.callers},
		{"endpoints", &file.Listeners.Endpoints, &opened.endpoints},
		{"operators", &file.Listeners.Operators, &opened.operators},
	}
	for _, slot := range slots {
		if slot.settings.Listen == "" {
			continue
		}
		listener, err := open(slot.settings, file.Bounds.Connections)
		if err != nil {
			opened.close()
			return listeners{}, trace.Wrap(err)
		}
		counted := countedListener{Listener: listener, traffic: &traffic{}}
		opened.traffic[slot.name] = counted.traffic
		*slot.listener = counted
	}
	return opened, nil
}

func open(settings *config.Listener, connections int) (net.Listener, error) {
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "can't listen on %s", settings.Listen)
	}
	if settings.Advertise == settings.Listen {
		settings.Advertise = listener.Addr().String()
	}
	settings.Listen = listener.Addr().String()
	return netutil.LimitListener(listener, connections), nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.rpc, l.callers, l.endpoints, l.operators} {
		if listener != nil {
			_ = listener.Close() // nothing is left to do when a close fails
		}
	}
}
