package main

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// config is the parsed command line.
type config struct {
	options          standin.Options
	count            int
	addressFile      string
	logLevel         string
	maxLeaveDuration time.Duration
}

// rawFlags holds flags that config.withRawFlags converts and checks.
type rawFlags struct {
	id, zone, role, crashAt, faults string
	models                          []string
	incarnation                     uint64
}

func parseCommandLine(args []string) (config, error) {
	c := config{options: standin.Options{Timing: standin.DefaultTiming()}}
	var r rawFlags
	app := kingpin.New("hyssopsail-standin", "Emulated endpoints for tests and measurements.")
	identityFlags(app, &c, &r)
	networkFlags(app, &c)
	timingFlags(app, &c.options.Timing)
	behaviourFlags(app, &c, &r)
	if _, err := app.Parse(args); err != nil {
		return config{}, trace.BadParameter("%v", err)
	}
	return c.withRawFlags(r)
}

func identityFlags(app *kingpin.Application, c *config, r *rawFlags) {
	app.Flag("id", "Endpoint ID; with --count, its beginning.").Required().StringVar(&r.id)
	app.Flag("incarnation", "Incarnation; 0: from the clock.").Uint64Var(&r.incarnation)
	app.Flag("zone", "Availability zone.").Required().StringVar(&r.zone)
	app.Flag("role", "prefill, decode, both or plain.").Default(string(fleet.RoleBoth)).EnumVar(&r.role,
		string(fleet.RolePrefill), string(fleet.RoleDecode), string(fleet.RoleBoth), string(fleet.RolePlain))
	app.Flag("model", "model@version or model@version/adapter; repeatable.").StringsVar(&r.models)
	app.Flag("service", "Name of the plain service.").StringVar(&c.options.Service)
	app.Flag("slots", "Concurrent requests.").Default("20").IntVar(&c.options.Slots)
	app.Flag("kv-bytes", "Memory for KV caches in bytes; 0: bounded by slots alone.").Int64Var(&c.options.KVBytes)
	app.Flag("count", "Endpoints in this process, each with its own port.").Default("1").IntVar(&c.count)
}

func networkFlags(app *kingpin.Application, c *config) {
	app.Flag("listen", "host:port to serve on.").Default("127.0.0.1:0").StringVar(&c.options.Listen)
	app.Flag("advertise", "host:port that others use; default: the listener's.").StringVar(&c.options.Advertise)
	app.Flag("entry", "Endpoint listener of a daemon; repeatable.").StringsVar(&c.options.Entries)
	app.Flag("endpoint-key", "Fleet's key for announcements.").Envar("HYSSOPSAIL_ENDPOINT_KEY").StringVar(&c.options.EndpointKey)
	app.Flag("address-file", "File that gets one \"id address\" line for each endpoint.").StringVar(&c.addressFile)
	app.Flag("log-level", "debug, info, warn or error.").Default("info").StringVar(&c.logLevel)
}

func timingFlags(app *kingpin.Application, t *standin.Timing) {
	duration := func(name, help string, field *time.Duration) {
		app.Flag(name, help).Default(field.String()).DurationVar(field)
	}
	duration("step-base", "Time of one step of the batch.", &t.StepBase)
	duration("step-per-request", "Added for each request in the batch.", &t.StepPerRequest)
	duration("prefill-base", "Work of a prefill.", &t.PrefillBase)
	duration("prefill-token", "Added for each prompt token not cached.", &t.PrefillPerToken)
	duration("prefill-slice", "Prefill work in one step.", &t.PrefillSlice)
	duration("kv-life", "Life of an exported KV cache.", &t.KVLifetime)
	duration("transfer-bound", "An import that takes longer fails.", &t.TransferTimeout)
	duration("load-time", "Time to load a model or change role.", &t.ModelLoadTime)
	duration("load-lag", "Age of reported load.", &t.LoadReportDelay)
	duration("cache-lag", "Wait before cache events are sent.", &t.CacheEventInterval)
	duration("call-time", "Time of a plain call.", &t.CallDuration)
	duration("leave-grace", "Still serving after the leave was confirmed.", &t.LeaveGrace)
	app.Flag("kv-token", "Bytes of KV cache for each token.").Default("131072").Int64Var(&t.KVBytesPerToken)
	app.Flag("link-rate", "KV bytes a second on the link.").Default("1310720000").Int64Var(&t.LinkBytesPerSecond)
	app.Flag("wire-scale", "KV bytes for one byte on the wire.").Default("1024").Int64Var(&t.KVBytesPerWireByte)
	app.Flag("cache-bytes", "Memory of the prefix cache.").Default("8589934592").Int64Var(&t.PrefixCacheBytes)
}

func behaviourFlags(app *kingpin.Application, c *config, r *rawFlags) {
	app.Flag("checks-tokens", "Refuse orders with an old fencing token.").BoolVar(&c.options.ChecksFencingTokens)
	app.Flag("free-on-disconnect", "Free a request when its connection ends.").BoolVar(&c.options.FreeOnDisconnect)
	app.Flag("software", "Version of its software that it announces.").StringVar(&c.options.Software)
	app.Flag("refuse-leaving", "Take no new work from the leave on.").BoolVar(&c.options.RefuseLeaving)
	app.Flag("crash-marker", "Text in a prompt or body that ends the process.").StringVar(&c.options.CrashMarker)
	app.Flag("crash-at", "prefill, decode or call.").Default(string(engineapi.StagePrefill)).EnumVar(&r.crashAt,
		string(engineapi.StagePrefill), string(engineapi.StageDecode), string(engineapi.StageCall))
	app.Flag("faults", "Switches at the start, as JSON.").Default("{}").StringVar(&r.faults)
	app.Flag("leave-bound", "Longest stop after SIGTERM.").Default("60s").DurationVar(&c.maxLeaveDuration)
	app.Flag("audit-folder", "Folder for the audit of a process that the crash fault ends.").StringVar(&c.options.AuditDir)
	app.Flag("most-facts", "Attempts kept for the audit.").Default("200000").IntVar(&c.options.MaxAttemptRecords)
}

func (c config) withRawFlags(r rawFlags) (config, error) {
	c.options.ID = fleet.EndpointID(r.id)
	c.options.Incarnation = fleet.Incarnation(r.incarnation)
	c.options.Zone = fleet.AvailabilityZone(r.zone)
	c.options.Role = fleet.EndpointRole(r.role)
	c.options.CrashStage = engineapi.Stage(r.crashAt)
	if c.count < 1 {
		return config{}, trace.BadParameter("--count must be at least 1")
	}
	for _, text := range r.models {
		model, err := parseModel(text)
		if err != nil {
			return config{}, err
		}
		c.options.Models = append(c.options.Models, model)
	}
	if err := json.Unmarshal([]byte(r.faults), &c.options.Faults); err != nil {
		return config{}, trace.BadParameter("--faults: %v", err)
	}
	return c, nil
}

// parseModel parses the form that ModelRef.String returns.
func parseModel(text string) (engineapi.ModelRef, error) {
	name, rest, ok := strings.Cut(text, "@")
	if !ok || name == "" {
		return engineapi.ModelRef{}, trace.BadParameter("model %q is not model@version", text)
	}
	version, adapter, _ := strings.Cut(rest, "/")
	if version == "" {
		return engineapi.ModelRef{}, trace.BadParameter("model %q is not model@version", text)
	}
	return engineapi.ModelRef{Model: name, Version: version, Adapter: adapter}, nil
}
