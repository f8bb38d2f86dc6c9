package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// job is one request of a stream, generated before its intended time.
type job struct {
	stream      *Stream
	tally       *tally // of its stream
	number      int
	caller      int
	intended    time.Time
	counted     bool   // after the warm-up
	marker      string // sent as "[[id=...]]", identifies the request in audits
	key         string
	prompt      string
	maxTokens   int
	body        string
	cancelAfter time.Duration // from intended; 0: never
	doubled     bool
}

// bytesPerToken is the length of a token of the emulated engines.
const bytesPerToken = 4

// fillerText is the text that prompts and bodies are made of.
const fillerText = "cotton sari bale offcut weave warp weft twill gauze indigo madder slip truck bank mill spin card comb fold sort tear dye wool silk jute flax "

// jobSource generates the jobs of one stream. The same seed generates the same jobs.
type jobSource struct {
	run       string // makes keys and markers unique to this run
	stream    *Stream
	random    *rand.Rand
	arrivals  arrivalProcess
	callers   int
	preambles []string
	number    int
}

func newJobSource(e *Experiment, index int, run string) *jobSource {
	s := &e.Streams[index]
	random := rand.New(rand.NewPCG(e.Seed, uint64(index)+1))
	src := &jobSource{run: run, stream: s, random: random, callers: e.Callers}
	src.arrivals = arrivalProcess{arrivals: s.Arrivals, rate: e.rate(*s), random: random}
	for range s.Preamble.Count {
		src.preambles = append(src.preambles, src.text(s.Preamble.Tokens*bytesPerToken))
	}
	return src
}

// next generates the next job; at is its intended time from the start of the run.
func (s *jobSource) next() (j job, at time.Duration) {
	at = s.arrivals.next()
	s.number++
	j = job{stream: s.stream, number: s.number, caller: s.random.IntN(s.callers)}
	j.marker = fmt.Sprintf("%s-%s-%d", s.run, s.stream.Name, s.number)
	if s.stream.Keyed {
		j.key = j.marker
	}
	if s.random.Float64() < s.stream.Cancel.Share {
		j.cancelAfter = seconds((0.5 + s.random.Float64()) * s.stream.Cancel.After.Seconds())
	}
	j.doubled = s.random.Float64() < s.stream.Resend.Doubled
	if s.stream.Model == "" {
		j.body = s.body(j.marker)
		return j, at
	}
	j.prompt, j.maxTokens = s.prompt(j.marker)
	return j, at
}

func (s *jobSource) body(marker string) string {
	head := "[[id=" + marker + "]] "
	return head + s.text(max(0, s.stream.BodyBytes.draw(s.random)-len(head)))
}

func (s *jobSource) prompt(marker string) (prompt string, tokens int) {
	tokens = max(1, s.stream.OutputTokens.draw(s.random))
	length := s.stream.PromptTokens.draw(s.random) * bytesPerToken
	head := fmt.Sprintf("[[id=%s]] [[tokens=%d]] ", marker, tokens)
	own := head + s.text(max(0, length-len(head)))
	if len(s.preambles) > 0 && s.random.Float64() < s.stream.Preamble.Share {
		own = s.preambles[s.random.IntN(len(s.preambles))] + own
	}
	return own, tokens
}

// text returns length bytes of text that differs between calls.
func (s *jobSource) text(length int) string {
	if length <= 0 {
		return ""
	}
	start := s.random.IntN(len(fillerText))
	var b strings.Builder
	b.Grow(length + len(fillerText) + 24)
	fmt.Fprintf(&b, "%x ", s.random.Uint64())
	b.WriteString(fillerText[start:])
	for b.Len() < length {
		b.WriteString(fillerText)
	}
	return b.String()[:length]
}
