package e2e_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/testkit/crowd"
)

const (
	// crowdLengthVariable is the time that each crowd is played, such as "7s". With it all cases are
	// played.
	crowdLengthVariable = "HYSSOPSAIL_CROWD"
	crowdDefaultLength  = 1500 * time.Millisecond
	// crowdMemoryMB is the memory of the smallest machine, MiB.
	crowdMemoryMB = 112
	crowdCallers  = 6
	crowdPause    = 150 * time.Millisecond
	// crowdServedShare is the least share of ordinary requests that are served beside a crowd.
	crowdServedShare    = 0.9
	crowdRequestTimeout = 2500 * time.Millisecond
	crowdReturnDelay    = 800 * time.Millisecond
	crowdRecovery       = 10 * time.Second
	crowdSources        = 2000
)

// crowdCase is a crowd at one listener of the first daemon.
type crowdCase struct {
	name   string
	kind   crowd.Kind
	target crowd.Target
}

// crowdCases returns each kind of client at each listener, at callers' also at a path that isn't there, at
// one without a key and from many addresses. Without a length in the environment, only some of those.
func crowdCases(t *testing.T, f *testFleet) []crowdCase {
	at := f.instances[0]
	secure, err := operator.ClientTLS(f.keyPath("authority.pem"))
	assert.NilError(t, err)
	key := func(k string) string { return fmt.Sprintf("%s: Bearer %s\r\n", callerapi.HeaderAuthorization, k) }
	service, chat := "/v1/services/s/c", "/v1/chat/completions"
	targets := []struct {
		name   string
		kinds  []crowd.Kind
		target crowd.Target
	}{
		{"callers", crowd.Kinds, crowd.Target{Address: at.address(callersPort), Path: service, Header: key(teamKey)}},
		{"callers/many-addresses", crowd.Kinds, crowd.Target{Address: at.address(callersPort), Path: service, Header: key(teamKey), Sources: crowdSources}},
		{"callers/no-key", crowd.Kinds, crowd.Target{Address: at.address(callersPort), Path: service}},
		{"callers/no-path", crowd.Kinds, crowd.Target{Address: at.address(callersPort), Path: "/nowhere"}},
		{"callers/chat", []crowd.Kind{crowd.Chats}, crowd.Target{Address: at.address(callersPort), Path: chat, Header: key(teamKey)}},
		{"endpoints", crowd.Kinds, crowd.Target{Address: at.address(endpointsPort), Path: "/v1/endpoints/heartbeat", Header: key(endpointKey)}},
		{"operators", crowd.Kinds, crowd.Target{Address: at.address(operatorsPort), Path: "/v1/settings", TLS: secure}},
		{"operators/plain", crowd.MessageKinds, crowd.Target{Address: at.address(operatorsPort)}},
		{"rpc", crowd.MessageKinds, crowd.Target{Address: at.address(rpcPort)}},
		{"rpc/handshakes", []crowd.Kind{crowd.Handshakes}, crowd.Target{Address: at.address(rpcPort), TLS: &tls.Config{InsecureSkipVerify: true}}},
	}
	var cases []crowdCase
	for n, l := range targets {
		l.target.Host = "crowd.example"
		for m, k := range l.kinds {
			if os.Getenv(crowdLengthVariable) != "" || (n+m)%4 == 0 || len(l.kinds) == 1 {
				cases = append(cases, crowdCase{name: l.name + "/" + k.Name, kind: k, target: l.target})
			}
		}
	}
	return cases
}

func crowdLength(t *testing.T) time.Duration {
	text := os.Getenv(crowdLengthVariable)
	if text == "" {
		return crowdDefaultLength
	}
	length, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return length
}

// Guards against clients that end a daemon by its memory, or leave ordinary callers unserved: each kind of
// client that doesn't behave, at each listener.
func TestCrowdsAtADaemon(t *testing.T) {
	plan := oneZonePlan()
	f := startFleet(t, plan)
	e := &endpointSet{fleet: f}
	e.add(t, "s1", "a", fleet.RolePlain)
	e.add(t, "s2", "a", fleet.RolePlain)
	e.awaitService(t)
	calm, _, _ := playCrowd(t, f, nil)
	t.Logf("CROWD daemon, none | %s", calm)
	assert.Check(t, calm.Served == calm.Sent, "ordinary requests without a crowd: %s", calm)
	for _, c := range crowdCases(t, f) {
		t.Run(c.name, func(t *testing.T) {
			ordinary, peak, over := playCrowd(t, f, &c)
			t.Logf("CROWD daemon, %s | %s | %s", c.name, peak["i0"], ordinary)
			for _, line := range over[:min(1, len(over))] {
				t.Errorf("over its memory: %s", line)
			}
			assert.Check(t, float64(ordinary.Served) >= crowdServedShare*float64(ordinary.Sent), "ordinary requests served: %s", ordinary)
			if t.Failed() {
				t.Log(f.instances[0].latestLines("connections: ", 5))
			}
			f.restartEnded(t)
			e.awaitService(t)
		})
	}
}

// playCrowd plays ordinary requests at the first daemon, and a crowd beside them; nil for none.
func playCrowd(t *testing.T, f *testFleet, c *crowdCase) (r crowd.Result, peak map[string]crowd.Use, over []string) {
	ctx, cancel := context.WithTimeout(t.Context(), crowdLength(t))
	defer cancel()
	watch := crowd.StartWatch(f.watchedProcesses())
	ordinary := &crowd.Ordinary{Callers: crowdCallers, Pause: crowdPause, Send: f.sendOrdinary}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if c != nil {
			crowd.Play(ctx, c.kind, c.target)
		}
	}()
	ordinary.Run(ctx)
	<-ended
	peak, over = watch.Stop()
	return ordinary.Result(), peak, over
}

// sendOrdinary sends a call, and once more if it was refused or its connection closed, as callers do.
func (f *testFleet) sendOrdinary(ctx context.Context, caller, n int) (err error) {
	ctx, cancel := context.WithTimeout(ctx, crowdRequestTimeout)
	defer cancel()
	for range 2 {
		var a answer
		a, err = callServiceAs(ctx, f.instances[0], fmt.Sprintf("/o-%d-%d", caller, n), request{}, "an ordinary body")
		switch {
		case err == nil && a.isComplete():
			return nil
		case err == nil:
			err = fmt.Errorf("status %d: %s", a.status, a.apiError.Message)
			<-time.After(crowdReturnDelay)
		}
	}
	return err
}

func (f *testFleet) watchedProcesses() []crowd.Process {
	var list []crowd.Process
	for _, i := range f.instances {
		ips := []string{i.ip, strings.TrimSuffix(f.advertisedAddress(i), fmt.Sprintf(":%d", rpcPort))}
		list = append(list, crowd.Process{
			Name: i.id, PID: i.command.Process.Pid, IPs: ips[:1], Bytes: crowdMemoryMB << 20,
			Stop: func() { _ = i.command.Process.Signal(syscall.SIGKILL) },
		})
	}
	return list
}

// restartEnded starts daemons that have ended, and fails the test for each.
func (f *testFleet) restartEnded(t *testing.T) {
	t.Helper()
	for _, i := range f.instances {
		select {
		case <-i.exited:
			t.Errorf("%s has ended: %s", i.id, i.logTail())
			i.start(t)
		default:
		}
	}
	f.awaitCurrent(t, f.instances...)
}
