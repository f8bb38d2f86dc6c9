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

// directEngines are emulated engines that direct model streams call
// themselves: prefill, transfer and decode one after another, with engines
// taken in turn. They must not announce themselves to entries, whose homes
// would cancel what no entry has asked for.
type directEngines struct {
	client  engine.Client
	prefill []engineapi.Announcement
	decode  []engineapi.Announcement
}

// directOwner names the generator to the engines.
var directOwner = fleet.Owner{Instance: "load", Incarnation: 1}

// newDirectEngines asks each address who it is.
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

// send makes one request and judges its answer like one of an entry.
func (d *directEngines) send(ctx context.Context, j *job, expect func(string, int) string) answer {
	ctx, cancel := context.WithTimeout(ctx, time.Until(j.intended.Add(j.stream.Patience))+stallTimeout)
	defer cancel()
	run := directRun{
		engines: d, job: j, attempt: fleet.AttemptID(uuid.NewString()),
		prefill: d.prefill[j.number%len(d.prefill)], decode: d.decode[j.number%len(d.decode)],
	}
	stream, err := run.start(ctx)
	if err != nil {
		return answer{verdict: VerdictFailed, detail: err.Error()}
	}
	defer func() { _ = stream.Close() }()
	r := reading{job: j, gaps: make([]time.Duration, 0, j.maxTokens)}
	if expect != nil {
		r.rest, r.check = expect(j.prompt, j.maxTokens), true
	}
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return r.judge(time.Now())
		}
		if err != nil {
			return r.ended(ctx, err)
		}
		if chunk.Text != "" {
			r.take([]byte(chunk.Text), time.Now())
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

func anywhere(engine.Target) error { return nil }

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

// start runs the request up to its decode stream.
func (d *directRun) start(ctx context.Context) (engine.Stream, error) {
	kv, err := d.engines.client.Prefill(ctx, d.target(d.prefill), anywhere, engineapi.PrefillRequest{
		Work: d.work(d.prefill), Prompt: d.job.prompt, MaxTokens: d.job.maxTokens,
	})
	if err != nil {
		return nil, err
	}
	_, err = d.engines.client.Import(ctx, d.target(d.decode), anywhere, engineapi.ImportRequest{
		Work: d.work(d.decode), Source: d.prefill.Address, Handle: kv.Handle,
		PromptTokens: kv.PromptTokens, KVBytes: kv.KVBytes,
	})
	if err != nil {
		return nil, err
	}
	return d.engines.client.Decode(ctx, d.target(d.decode), anywhere, engineapi.DecodeRequest{
		Work: d.work(d.decode), Prompt: d.job.prompt, MaxTokens: d.job.maxTokens,
	})
}
