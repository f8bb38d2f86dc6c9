package settings

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// Ranges of a team's values.
const (
	maxFirstTokenTarget            = 10 * time.Minute
	maxTokenGapTarget              = 10 * time.Second
	minShare                       = 0.001
	maxShare                       = 1000.0
	maxConcurrentRequests          = 1_000_000
	maxRequestsPerSecond           = 1e6
	maxBodyBytes          ByteSize = 64e6
)

func checkTeam(t *Team, name fleet.Team, document *strictyaml.Document) {
	c := checker{document}
	c.name("team", string(t.Name))
	if t.Name != name {
		c.fault("team", "write "+string(name)+", or apply the file to "+TeamSubtree(t.Name),
			"%q is not the team of subtree %s", t.Name, TeamSubtree(name))
	}
	c.nonEmpty("key_hashes", len(t.KeyHashes), "give the hash of at least one team key")
	c.distinct("key_hashes", stringsOf(t.KeyHashes), "the same hash")
	c.nonEmpty("permitted_zones", len(t.PermittedZones), "list the availability zones that the team's data may touch")
	c.distinct("permitted_zones", stringsOf(t.PermittedZones), "the same zone")
	c.distinct("models", t.Models, "the same model")
	c.distinct("services", t.Services, "the same service")
	if len(t.Models)+len(t.Services) == 0 {
		c.fault("", "list at least one model or service", "the team uses neither a model nor a service")
	}
	c.callerKinds("caller_kinds", t.Callers)
	c.teamRanges(t)
}

func (c checker) teamRanges(t *Team) {
	checkRange(c, "targets.first_token", t.Targets.FirstToken, time.Millisecond, maxFirstTokenTarget)
	checkRange(c, "targets.token_gap", t.Targets.TokenGap, time.Millisecond, maxTokenGapTarget)
	checkRange(c, "wasted_prefill_weight", t.WastedPrefillWeight, 0, 1)
	checkRange(c, "share", t.Share, minShare, maxShare)
	checkRange(c, "limits.concurrent", t.Limits.Concurrent, 0, maxConcurrentRequests)
	checkRange(c, "limits.requests_per_second", t.Limits.RequestsPerSecond, 0, maxRequestsPerSecond)
	checkRange(c, "limits.prompt_tokens", t.Limits.PromptTokens, 0, maxTokens)
	checkRange(c, "limits.body_bytes", t.Limits.BodyBytes, 1, maxBodyBytes)
}
