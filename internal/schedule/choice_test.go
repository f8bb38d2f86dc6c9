package schedule

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

const ms = time.Millisecond

func seeded() *rand.Rand { return rand.New(rand.NewPCG(7, 11)) }

func cacheOf(prefixes []uint64) map[uint64]struct{} {
	set := map[uint64]struct{}{}
	for _, p := range prefixes {
		set[p] = struct{}{}
	}
	return set
}

func TestChoices(t *testing.T) {
	prompt := strings.Repeat("spin", 2000)
	prefixes := Prefixes(fibre, prompt)
	request := Request{EntryZone: "howrah", PromptTokens: Tokens(prompt), Prefixes: prefixes, KVBytes: 50e6}
	busy := endpoint.Candidate{ID: "busy", Zone: "howrah", Slots: 20, Granted: 20, SlotWait: 400 * ms}
	idle := endpoint.Candidate{ID: "idle", Zone: "howrah", Slots: 20}
	far := endpoint.Candidate{ID: "far", Zone: "durgapur", Slots: 20}
	warm := endpoint.Candidate{ID: "warm", Zone: "howrah", Slots: 20, Granted: 3, QueuedWork: 50 * ms, CachedPrefixes: cacheOf(prefixes)}
	swamped := endpoint.Candidate{ID: "swamped", Zone: "howrah", Slots: 20, QueuedWork: time.Second, CachedPrefixes: cacheOf(prefixes)}
	for _, row := range []struct {
		name       string
		kind       fleet.EndpointRole
		policy     string
		avoid      fleet.EndpointID
		candidates []endpoint.Candidate
		want       fleet.EndpointID
	}{
		{"a cached prefix is worth a short queue", fleet.RolePrefill, NameLeastWait, "", []endpoint.Candidate{idle, warm, busy}, "warm"},
		{"a cached prefix is not worth a long queue", fleet.RolePrefill, NameLeastWait, "", []endpoint.Candidate{swamped, idle}, "idle"},
		{"the near zone wins", fleet.RolePrefill, NameLeastWait, "", []endpoint.Candidate{far, idle}, "idle"},
		{"one that just failed is avoided", fleet.RolePrefill, NameLeastWait, "warm", []endpoint.Candidate{warm, busy}, "busy"},
		{"a sample takes the least wait of its own", fleet.RolePrefill, NameSampledWait, "", []endpoint.Candidate{idle, warm, busy}, "warm"},
		{"a sample isn't filled by those to avoid", fleet.RolePrefill, NameSampledWait, "busy", []endpoint.Candidate{busy, busy, busy, busy, idle}, "idle"},
		{"two choices take the free one", fleet.RoleDecode, NameTwoChoices, "", []endpoint.Candidate{busy, idle}, "idle"},
		{"two choices stay near", fleet.RoleDecode, NameTwoChoices, "", []endpoint.Candidate{far, idle}, "idle"},
		{"two choices avoid", fleet.RoleDecode, NameTwoChoices, "idle", []endpoint.Candidate{busy, idle}, "busy"},
		{"least load", fleet.RoleDecode, NameLeastReportedLoad, "", []endpoint.Candidate{busy, warm, idle}, "idle"},
		{"round robin avoids", fleet.RoleDecode, NameRoundRobin, "busy", []endpoint.Candidate{busy, idle}, "idle"},
	} {
		t.Run(row.name, func(t *testing.T) {
			policy, err := ChoiceByName(row.kind, row.policy)
			assert.NilError(t, err)
			r := request
			if row.avoid != "" {
				r.Avoid = map[fleet.EndpointID]struct{}{row.avoid: {}}
			}
			random := seeded()
			for range 20 {
				got, ok := policy.Choose(r, row.candidates, random)
				assert.Assert(t, ok)
				assert.Equal(t, got.ID, row.want)
			}
		})
	}
}

func TestChoiceOfNone(t *testing.T) {
	only := []endpoint.Candidate{{ID: "a", Slots: 1}}
	avoid := Request{Avoid: map[fleet.EndpointID]struct{}{"a": {}}}
	for _, name := range []string{NameLeastWait, NameSampledWait, NameTwoChoices, NameRoundRobin, NameLeastReportedLoad} {
		policy, err := ChoiceByName(fleet.RolePrefill, name)
		assert.NilError(t, err)
		_, ok := policy.Choose(Request{}, nil, seeded())
		assert.Assert(t, !ok, name)
		_, ok = policy.Choose(avoid, only, seeded())
		assert.Assert(t, !ok, name)
	}
	_, err := ChoiceByName(fleet.RolePrefill, "best")
	assert.ErrorContains(t, err, `no choice policy "best"`)
	_, err = StartByName("now")
	assert.ErrorContains(t, err, `no start policy "now"`)
}

// Several entries see the same digest and each sends a burst at the same time.
// If all picked the first of equal endpoints, it would receive everything and
// its callers would miss their targets while other endpoints idle.
func TestEqualCandidatesShareABurst(t *testing.T) {
	candidates := subset(12, nil)
	for _, name := range []string{NameLeastWait, NameTwoChoices} {
		policy, err := ChoiceByName(fleet.RoleDecode, name)
		assert.NilError(t, err)
		got := map[fleet.EndpointID]int{}
		random := seeded()
		for range 1200 {
			c, _ := policy.Choose(Request{EntryZone: "howrah"}, candidates, random)
			got[c.ID]++
		}
		for id, count := range got {
			// Six of the twelve are near, so an even share is up to 200.
			assert.Assert(t, count < 250, "%s: %s got %d of 1200", name, id, count)
		}
	}
}

func TestPrefixes(t *testing.T) {
	shared := strings.Repeat("dialect preamble ", 100)
	a, b := Prefixes(fibre, shared+"verse one"), Prefixes(fibre, shared+"verse two")
	assert.DeepEqual(t, a, b)
	other := Prefixes(fibre, "x"+shared)
	assert.Assert(t, other[0] != a[0])
	assert.Equal(t, len(Prefixes(fibre, "short")), 0)
	assert.Assert(t, Prefixes(lyric, shared)[0] != a[0])
	assert.Equal(t, len(Prefixes(fibre, strings.Repeat("x", 10*MaxPrefixBlocks*engineapi.PrefixBlockBytes))), MaxPrefixBlocks)
	for n := range a {
		assert.Equal(t, CachedTokens(a, cacheOf(a[:n])), n*PrefixBlockTokens)
		for guess := range len(a) + 2 {
			assert.Equal(t, cachedBlocks(a, cacheOf(a[:n]), guess), n, "guess %d", guess)
		}
	}
}

// subset returns n endpoints in two zones; every eighth has the prefixes cached.
func subset(n int, prefixes []uint64) []endpoint.Candidate {
	zones := []fleet.AvailabilityZone{"howrah", "barasat"}
	cached := cacheOf(prefixes)
	out := make([]endpoint.Candidate, n)
	for i := range out {
		out[i] = endpoint.Candidate{ID: fleet.EndpointID(fmt.Sprint("e", i)), Zone: zones[i/2%2], Slots: 20}
		if i%8 == 0 {
			out[i].CachedPrefixes = cached
		}
	}
	return out
}

func benchmarkRequest() (Request, []endpoint.Candidate) {
	prompt := strings.Repeat("sari", 4000)
	r := Request{EntryZone: "howrah", PromptTokens: 4000, Prefixes: Prefixes(fibre, prompt), KVBytes: 50e6}
	candidates := subset(576, r.Prefixes)
	random := seeded()
	for n := range candidates {
		candidates[n].SlotWait = time.Duration(random.IntN(400)) * ms
		candidates[n].Granted = random.IntN(21)
	}
	return r, candidates
}

func TestChoiceAllocatesNothing(t *testing.T) {
	r, candidates := benchmarkRequest()
	random := seeded()
	for _, name := range []string{NameLeastWait, NameSampledWait, NameTwoChoices, NameRoundRobin, NameLeastReportedLoad} {
		policy, err := ChoiceByName(fleet.RolePrefill, name)
		assert.NilError(t, err)
		got := testing.AllocsPerRun(100, func() { policy.Choose(r, candidates, random) })
		assert.Equal(t, got, 0.0, name)
	}
}

func BenchmarkChoice576(b *testing.B) {
	for _, name := range []string{NameLeastWait, NameSampledWait, NameTwoChoices, NameRoundRobin, NameLeastReportedLoad} {
		r, candidates := benchmarkRequest()
		policy, _ := ChoiceByName(fleet.RolePrefill, name)
		b.Run(name, func(b *testing.B) { run(b, policy, r, candidates) })
	}
	r, _ := benchmarkRequest()
	policy, _ := ChoiceByName(fleet.RolePrefill, NameLeastWait)
	b.Run("least-wait-all-idle", func(b *testing.B) { run(b, policy, r, subset(576, r.Prefixes)) })
	b.Run("least-wait-all-idle-no-cache", func(b *testing.B) { run(b, policy, r, subset(576, nil)) })
}

func run(b *testing.B, policy ChoicePolicy, r Request, candidates []endpoint.Candidate) {
	random := seeded()
	b.ReportAllocs()
	for b.Loop() {
		policy.Choose(r, candidates, random)
	}
}
