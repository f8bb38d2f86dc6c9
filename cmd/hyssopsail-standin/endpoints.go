package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// endpoints are the emulated endpoints of this process.
type endpoints struct {
	config config
	part   logging.Part
	all    []*standin.Standin
	ids    []fleet.EndpointID
}

func newEndpoints(c config, part logging.Part) (*endpoints, error) {
	e := &endpoints{config: c, part: part}
	for n := range c.count {
		o := c.options
		o.Part = part
		if c.count > 1 {
			o.ID = fleet.EndpointID(fmt.Sprintf("%s-%03d", o.ID, n))
		}
		s, err := standin.New(o)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		e.all = append(e.all, s)
		e.ids = append(e.ids, o.ID)
	}
	return e, nil
}

// run serves until stopping is done, then announces the leave and finishes the
// requests in flight, for at most maxLeaveDuration. It returns an error if they
// take longer.
func (e *endpoints) run(stopping context.Context) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	group, running := errgroup.WithContext(running)
	for _, s := range e.all {
		group.Go(func() error { return s.Run(running) })
	}
	if err := e.writeAddresses(running); err != nil {
		return trace.Wrap(err)
	}
	select {
	case <-stopping.Done():
	case <-running.Done():
		return trace.Wrap(group.Wait())
	}
	leaveErr := e.leave(running)
	stop()
	if err := group.Wait(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(leaveErr)
}

func (e *endpoints) leave(running context.Context) error {
	e.part.Info("leaving")
	ctx, stop := context.WithTimeout(running, e.config.maxLeaveDuration)
	defer stop()
	failures := make([]error, len(e.all))
	var all sync.WaitGroup
	for n, s := range e.all {
		all.Go(func() { failures[n] = s.Leave(ctx) })
	}
	all.Wait()
	return trace.NewAggregate(failures...)
}

// writeAddresses waits until all endpoints listen, then writes the address file
// atomically.
func (e *endpoints) writeAddresses(running context.Context) error {
	var lines strings.Builder
	for n, s := range e.all {
		select {
		case <-s.Ready():
		case <-running.Done():
			return nil
		}
		fmt.Fprintf(&lines, "%s %s\n", e.ids[n], s.Address())
	}
	if e.config.addressFile == "" {
		return nil
	}
	partial := e.config.addressFile + ".partial"
	if err := os.WriteFile(partial, []byte(lines.String()), 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.Rename(partial, e.config.addressFile))
}
