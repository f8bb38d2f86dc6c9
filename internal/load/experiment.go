package load

import (
	"bytes"
	"os"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

// Experiment describes one load run; it is read from a YAML file.
type Experiment struct {
	Name         string        `yaml:"name"`
	Seed         uint64        `yaml:"seed"`     // of all random choices
	Duration     time.Duration `yaml:"duration"` // of arrivals, default 30s
	Warmup       time.Duration `yaml:"warmup"`   // arrivals at the start that aren't counted
	Drain        time.Duration `yaml:"drain"`    // maximum wait for answers after the last arrival, default 30s
	MaxRequests  int           `yaml:"max_requests"`
	MaxInFlight  int           `yaml:"max_in_flight"`  // default 4000
	Entries      []string      `yaml:"entries"`        // host:port
	AskAddresses bool          `yaml:"ask_addresses"`  // use GET /v1/addresses of the entries
	Callers      int           `yaml:"callers"`        // emulated caller processes, each with its own cached addresses; default 60
	Audits       []string      `yaml:"audits"`         // host:port of emulated endpoints
	AuditFolder  string        `yaml:"audit_folder"`   // with the audits of emulated endpoints that were crashed
	Direct       []string      `yaml:"direct"`         // host:port of plain services, for direct streams
	Engines      []string      `yaml:"direct_engines"` // host:port of emulated engines that announce themselves to no entry, for direct model streams
	Capacity     Capacity      `yaml:"capacity"`
	Streams      []Stream      `yaml:"streams"`
}

// Stream is one kind of request with its arrivals. Model streams set Model, calls
// of plain services set Service.
type Stream struct {
	Name       string        `yaml:"name"`
	Team       string        `yaml:"team"`
	Key        string        `yaml:"key"` // the team's bearer key
	CallerKind string        `yaml:"caller_kind"`
	Patience   time.Duration `yaml:"patience"` // to the first token or the answer, default 10s
	Targets    Targets       `yaml:"targets"`

	Rate     float64  `yaml:"rate"` // requests a second, or
	Load     float64  `yaml:"load"` // share of the computed capacity, such as 0.9
	Arrivals Arrivals `yaml:"arrivals"`

	Model        string   `yaml:"model"`
	PromptTokens Mix      `yaml:"prompt_tokens"` // without the preamble
	OutputTokens Mix      `yaml:"output_tokens"`
	Preamble     Preamble `yaml:"preamble"`

	Service   string `yaml:"service"`
	Method    string `yaml:"method"`     // default POST
	Path      string `yaml:"path"`       // default "/"
	BodyBytes Mix    `yaml:"body_bytes"` // default 200

	Direct        bool   `yaml:"direct"`         // calls endpoints or engines without an entry, for comparison
	Keyed         bool   `yaml:"keyed"`          // sends an Idempotency-Key
	NotIdempotent bool   `yaml:"not_idempotent"` // sends Hyssopsail-Idempotent: false
	Resend        Resend `yaml:"resend"`
	Cancel        Cancel `yaml:"cancel"`
}

// Targets are the latency targets that a good answer meets. TokenGap bounds
// the mean time between the tokens of one answer.
type Targets struct {
	FirstToken time.Duration `yaml:"first_token"` // default 1600ms
	TokenGap   time.Duration `yaml:"token_gap"`   // default 38ms
}

// Preamble describes common text at the start of requests.
type Preamble struct {
	Count  int     `yaml:"count"`  // distinct preambles
	Tokens int     `yaml:"tokens"` // length of each
	Share  float64 `yaml:"share"`  // of requests that begin with one
}

// Resend specifies how a caller repeats a request with the same key.
type Resend struct {
	NoAnswer int           `yaml:"no_answer"` // maximum repeats after no answer
	Refused  int           `yaml:"refused"`   // maximum repeats after a refusal with Retry-After
	Wait     time.Duration `yaml:"wait"`      // before a repeat without Retry-After, default 100ms
	Doubled  float64       `yaml:"doubled"`   // share of requests sent twice at once
}

// Cancel specifies which callers cancel their request, and when.
type Cancel struct {
	Share float64       `yaml:"share"`
	After time.Duration `yaml:"after"` // mean time from the arrival; drawn from 0.5 to 1.5 times it
}

// ReadFile reads an experiment from a file. Unknown fields are an error.
func ReadFile(name string) (Experiment, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return Experiment{}, trace.ConvertSystemError(err)
	}
	e, err := Parse(body)
	return e, trace.Wrap(err, "experiment %s", name)
}

// Parse decodes an experiment, sets its defaults and checks it.
func Parse(body []byte) (Experiment, error) {
	var e Experiment
	decoder := yaml.NewDecoder(bytes.NewReader(body))
	decoder.KnownFields(true)
	if err := decoder.Decode(&e); err != nil {
		return Experiment{}, trace.BadParameter("experiment: %v", err)
	}
	e.setDefaults()
	return e, e.check()
}

func (e *Experiment) setDefaults() {
	orDefault(&e.Duration, 30*time.Second)
	orDefault(&e.Drain, 30*time.Second)
	orDefault(&e.MaxInFlight, 4000)
	orDefault(&e.Callers, 60)
	for n := range e.Streams {
		e.Streams[n].setDefaults()
	}
}

func (s *Stream) setDefaults() {
	orDefault(&s.Patience, 10*time.Second)
	orDefault(&s.Targets.FirstToken, 1600*time.Millisecond)
	orDefault(&s.Targets.TokenGap, 38*time.Millisecond)
	orDefault(&s.Resend.Wait, 100*time.Millisecond)
	orDefault(&s.Method, "POST")
	orDefault(&s.Path, "/")
	orDefault(&s.Arrivals.Pattern, PatternPoisson)
	if len(s.BodyBytes) == 0 {
		s.BodyBytes = Mix{{Weight: 1, From: 200, To: 200}}
	}
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
