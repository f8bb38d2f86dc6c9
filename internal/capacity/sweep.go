package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// defaultFleetSize is the number of daemons when another quantity is varied.
const defaultFleetSize = 9

// measureDaemons varies the number of daemons of an idle fleet.
func measureDaemons(ctx context.Context, o options, r *report) error {
	for _, count := range o.daemons {
		err := withFleet(ctx, o, count, func(f *testFleet) error {
			at := sweepPoint{"daemons", count}
			if err := f.measureUsage(ctx, r, at, nil); err != nil {
				return trace.Wrap(err)
			}
			return f.measurePropagation(ctx, r, at)
		})
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func withFleet(ctx context.Context, o options, count int, do func(*testFleet) error) error {
	f, err := startFleet(ctx, o, count)
	if err != nil {
		return trace.Wrap(err, "fleet of %d", count)
	}
	defer f.stop()
	if err := sleepFor(ctx, o.settleDuration); err != nil {
		return err
	}
	return do(f)
}

// measureEndpoints varies the number of endpoints.
func measureEndpoints(ctx context.Context, o options, r *report) error {
	return withFleet(ctx, o, defaultFleetSize, func(f *testFleet) error {
		if err := f.measureUsage(ctx, r, sweepPoint{"endpoints", 0}, nil); err != nil {
			return trace.Wrap(err)
		}
		present := 0
		for _, count := range o.endpoints {
			if err := f.startStandins("decode", fmt.Sprint("to-", count), count-present); err != nil {
				return trace.Wrap(err)
			}
			present = count
			if err := f.waitForEndpoints(ctx, count); err != nil {
				return trace.Wrap(err)
			}
			if err := sleepFor(ctx, o.settleDuration); err != nil {
				return err
			}
			if err := f.measureUsage(ctx, r, sweepPoint{"endpoints", count}, nil); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	})
}

// startStandins starts count emulated endpoints, with one process for each zone.
func (f *testFleet) startStandins(role, prefix string, count int) error {
	for n, zone := range zones {
		share := count / len(zones)
		if n < count%len(zones) {
			share++
		}
		if share == 0 {
			continue
		}
		arguments := []string{"--id", prefix + "-" + role + "-" + zone, "--zone", zone, "--role", role, "--count", fmt.Sprint(share),
			"--leave-grace", "100ms", "--call-time", "5ms", "--log-level", "error"}
		if role == "plain" {
			arguments = append(arguments, "--service", serviceName)
		} else {
			arguments = append(arguments, "--model", modelName+"@1")
		}
		for _, i := range f.entries() {
			if i.Zone == zone {
				arguments = append(arguments, "--entry", i.Endpoints)
			}
		}
		log := filepath.Join(f.folder, "standins", prefix+"-"+zone)
		p, err := startProcess(log, []string{"HYSSOPSAIL_ENDPOINT_KEY=" + endpointKey},
			filepath.Join(f.options.binFolder, "hyssopsail-standin"), arguments...)
		if err != nil {
			return trace.Wrap(err)
		}
		f.standins = append(f.standins, p)
	}
	return nil
}

func (f *testFleet) waitForEndpoints(ctx context.Context, count int) error {
	client, err := f.operatorOf(operatorKey, f.entries()[0].Operators)
	if err != nil {
		return trace.Wrap(err)
	}
	return waitUntil(ctx, fmt.Sprint(count, " endpoints are listed"), func() bool {
		reply, err := client.Endpoints(ctx)
		return err == nil && len(reply.Endpoints) >= count
	})
}

// measureTeams varies the number of teams in an idle fleet, then the rate of changes.
func measureTeams(ctx context.Context, o options, r *report) error {
	return withFleet(ctx, o, defaultFleetSize, func(f *testFleet) error {
		if err := f.measureUsage(ctx, r, sweepPoint{"teams", 1}, nil); err != nil {
			return trace.Wrap(err)
		}
		present := 1
		for _, count := range o.teams {
			began := time.Now()
			if err := f.addTeams(ctx, present, count); err != nil {
				return trace.Wrap(err)
			}
			r.add("teams made", "fleet", "1/s", sweepPoint{"teams", count}, []float64{float64(count-present) / time.Since(began).Seconds()})
			present = count
			if err := sleepFor(ctx, o.settleDuration); err != nil {
				return err
			}
			if err := f.measureUsage(ctx, r, sweepPoint{"teams", count}, nil); err != nil {
				return trace.Wrap(err)
			}
		}
		return f.measureChanges(ctx, r, present)
	})
}

// measureChanges varies the changes per second, with all teams present.
func (f *testFleet) measureChanges(ctx context.Context, r *report, teams int) error {
	for _, rate := range []int{0, 1, 10} {
		var do func(context.Context) error
		if rate > 0 {
			do = func(ctx context.Context) error {
				_, err := f.changeAtRate(ctx, rate, teams)
				return err
			}
		}
		if err := f.measureUsage(ctx, r, sweepPoint{fmt.Sprintf("changes/s, %d teams", teams), rate}, do); err != nil {
			return trace.Wrap(err)
		}
	}
	name := settings.TeamPrefix + teamName(0)
	waits := newTally()
	for n := range 5 {
		sent := time.Now()
		if _, err := sendChange(ctx, f.client, name, f.versions[name], fmt.Sprint("wait-", n), teamDocument(0, 50+n), 10*time.Second); err != nil {
			return trace.Wrap(err)
		}
		f.versions[name]++
		waits.add("answer to a change with a wait", "fleet", "ms", milliseconds(time.Since(sent)))
	}
	waits.report(r, sweepPoint{"teams", teams})
	return f.measurePropagation(ctx, r, sweepPoint{"teams", teams})
}
