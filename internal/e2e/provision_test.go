package e2e_test

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

const provisionYAML = "provision: {mode: %s, poll: 300ms, hold: 1s, cool_down: 5s, drain: 5s, models_per_engine: 1}\n"

// setProvisionMode sets the mode of the fleet's provision planners.
func (f *testFleet) setProvisionMode(t *testing.T, p fleetPlan, mode settings.ProvisionMode) {
	t.Helper()
	yaml := fleetYAML(p) + fmt.Sprintf(provisionYAML, mode)
	eventually(t, 10*time.Second, func() error {
		version, err := f.versionAt(t, f.instances[0], settings.FleetSubtree)
		if err != nil {
			return err
		}
		return f.applySubtree(t, f.operator, settings.FleetSubtree, version, uuid.NewString(), yaml)
	})
}

func withoutModel(o *standin.Options) {
	o.Models = nil
	o.ChecksFencingTokens = true
	o.Timing.ModelLoadTime = 500 * time.Millisecond
}

// Callers request a model that no endpoint has. They are refused until an idle
// engine of each role has loaded it, without an operator, and are then served.
func TestModelIsLoadedWhereDemandIs(t *testing.T) {
	p := oneZonePlan()
	f := startFleet(t, p)
	f.setProvisionMode(t, p, settings.ProvisionAct)
	e := &endpointSet{fleet: f}
	prefill := e.add(t, "p", "a", fleet.RolePrefill, withoutModel)
	decode := e.add(t, "d", "a", fleet.RoleDecode, withoutModel)
	f.awaitEndpoints(t, "p", "d")

	began := time.Now()
	eventually(t, 40*time.Second, func() error {
		a, err := sendCompletion(callContext(t), f.instances[0], request{prompt: "bales of saris", maxTokens: 3})
		if err == nil && !a.isComplete() {
			err = fmt.Errorf("%+v", a)
		}
		return err
	})
	f.logPollBytes(t)
	t.Logf("served %s after the first request, load time 500ms", time.Since(began).Round(time.Millisecond))
	m := []engineapi.ModelRef{{Model: "m", Version: "1"}}
	assert.DeepEqual(t, prefill.Announcement().Models, m)
	assert.DeepEqual(t, decode.Announcement().Models, m)
	assert.Equal(t, prefill.fetchAudit(t).Orders+decode.fetchAudit(t).Orders, 2)
}

// logPollBytes logs the number and the mean size of the planners' polls so far.
func (f *testFleet) logPollBytes(t *testing.T) {
	t.Helper()
	polls, size := 0.0, 0.0
	for _, i := range f.instances {
		p, err := metricSum(t, i, "hyssopsail_provision_polls_total")
		assert.NilError(t, err)
		s, err := metricSum(t, i, "hyssopsail_provision_poll_bytes")
		assert.NilError(t, err)
		polls, size = polls+p, size+s
	}
	t.Logf("%.0f looks, %.0f bytes from the two other entries each", polls, size/max(polls, 1))
}

// awaitEndpoints waits until each of the endpoints is listed by its home.
func (f *testFleet) awaitEndpoints(t *testing.T, ids ...string) {
	t.Helper()
	eventually(t, 15*time.Second, func() error {
		reply, err := f.operator.Endpoints(callContext(t))
		if err != nil {
			return err
		}
		known := map[string]bool{}
		for _, d := range reply.Endpoints {
			known[d.GetId()] = true
		}
		for _, id := range ids {
			if !known[id] {
				return fmt.Errorf("no home knows %s", id)
			}
		}
		return nil
	})
}

// In advise mode, the default, demand causes no order; the time line records what
// would have been ordered.
func TestAdviceMovesNothing(t *testing.T) {
	p := oneZonePlan()
	f := startFleet(t, p)
	f.setProvisionMode(t, p, settings.ProvisionAdvise)
	e := &endpointSet{fleet: f}
	decode := e.add(t, "d", "a", fleet.RoleDecode, withoutModel)
	f.awaitEndpoints(t, "d")
	eventually(t, 30*time.Second, func() error {
		if _, err := sendCompletion(callContext(t), f.instances[0], request{prompt: "x", maxTokens: 1}); err != nil {
			return err
		}
		line, err := f.operator.Timeline(callContext(t), &pb.TimelineQuery{EndpointId: "d"})
		if err != nil {
			return err
		}
		// By the second advice, an order for the first would have been carried out.
		advised := 0
		for _, event := range line.Events {
			if strings.HasPrefix(event.GetDetail(), "advised ") {
				advised++
			}
		}
		if advised < 2 {
			return fmt.Errorf("%d advices in %d events", advised, len(line.Events))
		}
		return nil
	})
	assert.Equal(t, decode.fetchAudit(t).Orders, 0)
}

// An operator orders a load, an unload and a change of role, each of them also
// repeated. The time line must name the operator.
func TestOperatorOrdersAnEndpoint(t *testing.T) {
	p := oneZonePlan()
	f := startFleet(t, p)
	e := &endpointSet{fleet: f}
	engine := e.add(t, "x", "a", fleet.RoleDecode, withoutModel)
	f.awaitEndpoints(t, "x")
	at := f.operatorClient(t, operatorKey, f.instances[1])
	for _, in := range []*pb.OrderEndpointRequest{
		{Kind: "load", Model: "m@1"},
		{Kind: "change-role", Role: "both"},
		{Kind: "unload", Model: "m@1"},
	} {
		in.EndpointId, in.OrderId = "x", uuid.NewString()
		for range 2 { // the second is a repeat
			reply, err := at.Order(callContext(t), in)
			assert.NilError(t, err)
			assert.Equal(t, reply.GetOutcome(), "done", "%v", in)
		}
	}
	tool := exec.Command(programPath("hyssopsail"), "--address", f.instances[1].address(operatorsPort),
		"--authority", f.keyPath("authority.pem"), "order", "load", "x", "m@1")
	tool.Env = append(os.Environ(), "HYSSOPSAIL_KEY="+operatorKey)
	out, err := tool.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	assert.Assert(t, strings.Contains(string(out), "done"), "%s", out)
	assert.Equal(t, engine.fetchAudit(t).Orders, 4)
	assert.Equal(t, engine.Announcement().Role, fleet.RoleBoth)
	line, err := f.operator.Timeline(callContext(t), &pb.TimelineQuery{EndpointId: "x"})
	assert.NilError(t, err)
	named := 0
	for _, event := range line.Events {
		if strings.HasPrefix(event.GetDetail(), "by operator o ") {
			named++
		}
	}
	assert.Equal(t, named, 4)
}
