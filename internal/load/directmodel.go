package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// directEngines are emulated engines that direct model streams call without an
// entry: prefill, transfer and decode in sequence, round robin over the engines.
// They must not announce themselves to entries, since their homes would cancel
// work that no entry has requested.
type directEngines struct {
	client  engine.Client
	prefill []engineapi.Announcement
	decode  []engineapi.Announcement
}

// directOwner identifies the generator to the engines.
var directOwner = fleet.Owner{Instance: "load", Incarnation: 1}

// newDirectEngines queries each address for its engine's announcement.
func newDirectEngines(ctx context.Context, client *http.Client, addresses []string) (*directEngines, error) {
	d := &directEngines{client: engine.NewClient(engine.Options{Owner: directOwner})}
	for _, address := range addresses {
		var a engineapi.Announcement
		if err := getJSON(ctx, client, "http://"+address+"/v1/state", &a); err != nil {
			return nil, trace.Wrap(err, "engine %s", address)
		}
		a.Address = address
		if a.Role.Takes(fleet.RolePrefill) {
			d.prefill = append(d.prefill, a)
		}
		if a.Role.Takes(fleet.RoleDecode) {
			d.decode = append(d.decode, a)
		}
	}
	if len(d.prefill) == 0 || len(d.decode) == 0 {
		return nil, trace.BadParameter("direct model streams need a prefill and a decode engine")
	}
	return d, nil
}

// send sends one request and judges its answer like that of an entry.
func (d *directEngines) send(ctx context.Context, j *job, expect func(string, int) string) requestResult {
	ctx, cancel := context.WithTimeout(ctx, time.Until(j.intended.Add(j.stream.Patience))+stallTimeout)
	defer cancel()
	run := directRun{
		engines: d, job: j, attempt: fleet.AttemptID(uuid.NewString()),
		prefill: d.prefill[j.number%len(d.prefill)], decode: d.decode[j.number%len(d.decode)],
	}
	stream, err := run.start(ctx)
	if err != nil {
		return requestResult{verdict: VerdictFailed, detail: err.Error()}
	}
	defer func() { _ = stream.Close() }()
	r := streamState{job: j, gaps: make([]time.Duration, 0, j.maxTokens)}
	if expect != nil {
		r.remaining, r.checkText = expect(j.prompt, j.maxTokens), true
	}
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return r.judge(time.Now())
		}
		if err != nil {
			return r.judgeIncomplete(ctx, err)
		}
		if chunk.Text != "" {
			r.addText([]byte(chunk.Text), time.Now())
		}
	}
}

// directRun is one request on its engines.
type directRun struct {
	engines *directEngines
	job     *job
	attempt fleet.AttemptID
	prefill engineapi.Announcement
	decode  engineapi.Announcement
}

func allowAnyTarget(engine.Target) error { return nil }

func (d *directRun) target(a engineapi.Announcement) engine.Target {
	return engine.Target{ID: a.ID, Incarnation: a.Incarnation, Zone: a.Zone, Address: a.Address}
}

func (d *directRun) work(a engineapi.Announcement) engineapi.Work {
	w := engineapi.Work{Attempt: d.attempt, Owner: directOwner, Endpoint: a.ID, Incarnation: a.Incarnation}
	for _, m := range a.Models {
		if m.Model == d.job.stream.Model {
			w.Model = m
		}
	}
	return w
}

// start runs prefill and transfer, and returns the decode stream.
func (d *directRun) start(ctx context.Context) (engine.Stream, error) {
	kv, err := d.engines.client.Prefill(ctx, d.target(d.prefill), allowAnyTarget, engineapi.PrefillRequest{
		Work: d.work(d.prefill), Prompt: d.job.prompt, MaxTokens: d.job.maxTokens,
	})
	if err != nil {
		return nil, err
	}
	_, err = d.engines.client.Import(ctx, d.target(d.decode), allowAnyTarget, engineapi.ImportRequest{
		Work: d.work(d.decode), Source: d.prefill.Address, Handle: kv.Handle,
		PromptTokens: kv.PromptTokens, KVBytes: kv.KVBytes,
	})
	if err != nil {
		return nil, err
	}
	return d.engines.client.Decode(ctx, d.target(d.decode), allowAnyTarget, engineapi.DecodeRequest{
		Work: d.work(d.decode), Prompt: d.job.prompt, MaxTokens: d.job.maxTokens,
	})
}
