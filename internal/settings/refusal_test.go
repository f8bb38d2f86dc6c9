package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// refusal is a change that must be refused with an error that contains want.
type refusal struct {
	name     string
	subtree  string
	old, new string // old is replaced by new in the valid subtree
	want     string
}

var refusals = []refusal{
	{"unknown key", "fleet", "timeouts:\n", "time_outs:\n", `fleet.yaml:28: time_outs: unknown key; known keys here: availability_zones,`},
	{"unknown nested key", "fleet", "region: bengal}\n  - {name: b", "reign: bengal}\n  - {name: b", `fleet.yaml:2: availability_zones[0].reign: unknown key; known keys here: name, region`},
	{"duplicate key", "fleet", "timeouts:\n", "links: []\ntimeouts:\n", `fleet.yaml:28: links: stands here again, first in line 5`},
	{"unit of a rate", "fleet", "10GB/s", "10Gbps", `fleet.yaml:6: links[0].rate: "10Gbps" is not valid; write a rate such as 500MB/s`},
	{"unit of a size", "fleet", "128KB", "128", `fleet.yaml:11: models[0].kv_bytes_per_token: "128" is not valid; write a size such as 64KB`},
	{"duration without unit", "fleet", "timeout: 5s", "timeout: 5", `fleet.yaml:15: services[0].timeout: "5" is not a duration; write a number with its unit`},
	{"zero without unit", "fleet", "timeout: 5s", "timeout: 0", `services[0].timeout: has no unit`},
	{"negative duration", "fleet", "timeout: 5s", "timeout: -5s", `services[0].timeout: "-5s" is negative`},
	{"text for a number", "fleet", "max_tokens: 32000", "max_tokens: many", `fleet.yaml:12: models[0].max_tokens: "many" is not a whole number`},
	{"leading zero", "fleet", "max_tokens: 32000", "max_tokens: 032000", `models[0].max_tokens: "032000" is not a whole number`},
	{"number for text", "fleet", "versions: [v2, v1]", "versions: [2, v1]", `fleet.yaml:9: models[0].versions[0]: "2" is not text; put the value in quotes`},
	{"no value", "fleet", "max_tokens: 32000", "max_tokens:", `models[0].max_tokens: has no value`},
	{"map for a list", "fleet", "versions: [v2, v1]", "versions: {v2: v1}", `models[0].versions: is not a list`},
	{"alias", "fleet", "adapters: [cotton]", "adapters: &a [cotton]", `models[0].adapters: anchors and aliases are not taken`},
	{"not YAML", "fleet", "models:\n", "models: [\n", `fleet.yaml:`},
	{"second document", "fleet", "timeouts:\n", "---\ntimeouts:\n", `a second document begins; keep one document in each file`},
	{"link to an undeclared zone", "fleet", "to: barasat", "to: bandel", `fleet.yaml:6: links[0].to: availability zone "bandel" is not declared; declare it in availability_zones, or use one of howrah, barasat, durgapur`},
	{"link without a rate", "fleet", "rate: 10GB/s, ", "", `links[0].rate: is missing`},
	{"link twice", "fleet", "models:\n", "  - {from: howrah, to: barasat, rate: 1GB/s}\nmodels:\n", `links[1]: the link between the same zones stands here again`},
	{"no zone", "fleet", "availability_zones:\n  - {name: howrah, region: bengal}\n  - {name: barasat, region: bengal}\n  - {name: durgapur, region: bengal}\n", "availability_zones: []\n", `availability_zones: has no item`},
	{"zone twice", "fleet", "{name: durgapur", "{name: howrah", `fleet.yaml:4: availability_zones[2]: the same zone stands here again, first in availability_zones[0]`},
	{"zone with plus", "fleet", "{name: durgapur", "{name: dur+gapur", `availability_zones[2].name: "dur+gapur" is not a name`},
	{"zone with slash", "fleet", "{name: durgapur", "{name: dur/gapur", `availability_zones[2].name: "dur/gapur" is not a name`},
	{"zone without a name", "fleet", "{name: durgapur, ", "{", `availability_zones[2].name: "" is not a name`},
	{"model without versions", "fleet", "    versions: [v2, v1]\n", "", `models[0].versions: has no item`},
	{"version twice", "fleet", "[v2, v1]", "[v2, v2]", `models[0].versions[1]: the same name stands here again`},
	{"limit out of range", "fleet", "max_tokens: 32000", "max_tokens: 99000000", `models[0].max_tokens: 99000000 is out of range; choose from 1 to 10000000`},
	{"hidden route", "fleet", "{method: PUT, prefix: /,", "{method: POST, prefix: /slips/late,", `services[0].routes[1]: is hidden by the route POST /slips before it`},
	{"route with dots", "fleet", "prefix: /slips", "prefix: /a/../slips", `services[0].routes[0].prefix: "/a/../slips" is not a path`},
	{"route without idempotent", "fleet", "/slips, idempotent: false", "/slips", `services[0].routes[0].idempotent: is missing`},
	{"method in lower case", "fleet", "method: POST", "method: post", `services[0].routes[0].method: "post" is not known; choose one of *, GET`},
	{"key hash", "fleet", "%LEAD%", "sha256:abc", `operators[1].key_hash: "sha256:abc" is not valid; write "sha256:" and 64 lower-case hex digits`},
	{"operator pattern", "fleet", "[teams/sorters]", "[sorters]", `operators[1].subtrees[0]: "sorters" matches no subtree`},
	{"operator key twice", "fleet", "%LEAD%", "%ROOT%", `operators[1]: the same key stands here again`},
	{"no operator for the fleet", "fleet", `["*"]`, `["teams/*"]`, `operators: no operator may change the fleet subtree`},
	{"unknown policy", "fleet", "timeouts:\n", "decisions: {prefill: best}\ntimeouts:\n", `decisions.prefill: "best" is not known; choose one of sampled-wait`},
	{"unknown mode", "fleet", "timeouts:\n", "provision: {mode: on}\ntimeouts:\n", `provision.mode: "on" is not known; choose one of advise, off, act`},
	{"poll out of range", "fleet", "timeouts:\n", "provision: {poll: 2m, hold: 3m}\ntimeouts:\n", `provision.poll: 2m0s is out of range; choose from 200ms to 1m0s`},
	{"hold under poll", "fleet", "timeouts:\n", "provision: {poll: 5s, hold: 1s}\ntimeouts:\n", `provision.hold: hold 1s is under poll 5s; keep hold >= poll`},
	{"no model per engine", "fleet", "timeouts:\n", "provision: {models_per_engine: 0}\ntimeouts:\n", `provision.models_per_engine: 0 is out of range; choose from 1 to 256`},
	{"lease under three heartbeats", "fleet", "record_life: 5m", "endpoint_heartbeat: 501ms", `keep endpoint_heartbeat * 3 <= endpoint_lease (now 501ms * 3 > 1.5s)`},
	{"endpoint lease and heartbeat too long", "fleet", "record_life: 5m", "{endpoint_lease: 2900ms, grant_life: 3s}", `keep endpoint_lease + endpoint_heartbeat <= 3s (now 2.9s + 300ms)`},
	{"settings lease too short", "fleet", "record_life: 5m", "settings_lease: 2s", `timeouts.settings_lease: doesn't fit the other timeouts; keep instance_lease < settings_lease`},
	{"settings lease too long", "fleet", "record_life: 5m", "settings_lease: 7s", `timeouts.settings_lease: 7s is out of range; choose from 300ms to 6s`},
	{"grant shorter than lease", "fleet", "record_life: 5m", "grant_life: 1s", `keep grant_life >= endpoint_lease (now 1s, 1.5s)`},
	{"transfer longer than KV life", "fleet", "record_life: 5m", "transfer: 900ms", `keep transfer <= kv_life (now 900ms, 800ms)`},
	{"quarantine shorter than records", "fleet", "record_life: 5m", "quarantine_life: 1m", `keep quarantine_life >= record_life (now 1m0s, 10m0s)`},
	{"record shorter than a call", "fleet", "timeout: 5s", "timeout: 5m", `services[0].timeout: timeout 5m0s is not under record_life 5m0s`},

	{"undeclared zone", "teams/sorters", "[howrah, barasat]", "[howrah, bandel]", `teams/sorters.yaml:3: permitted_zones[1]: availability zone "bandel" is not declared`},
	{"no permitted zone", "teams/sorters", "[howrah, barasat]", "[]", `teams/sorters.yaml:3: permitted_zones: has no item; list the availability zones`},
	{"missing permitted zones", "teams/sorters", "permitted_zones: [howrah, barasat]\n", "", `teams/sorters.yaml:1: permitted_zones: has no item`},
	{"repeated zone", "teams/sorters", "[howrah, barasat]", "[howrah, howrah]", `permitted_zones[1]: the same zone stands here again`},
	{"no key", "teams/sorters", `["%SORTERS%"]`, "[]", `key_hashes: has no item`},
	{"undeclared model", "teams/sorters", "[fibre]", "[gloss]", `teams/sorters.yaml:4: models[0]: model "gloss" is not declared`},
	{"undeclared version", "teams/sorters", "[fibre]", `["fibre@v9"]`, `models[0]: model "fibre" has no version "v9"`},
	{"undeclared service", "teams/sorters", "[bank]", "[banks]", `services[0]: service "banks" is not declared`},
	{"nothing used", "teams/sorters", "models: [fibre]\nservices: [bank]\n", "", `the team uses neither a model nor a service`},
	{"other team's name", "teams/sorters", "team: sorters", "team: sorter", `teams/sorters.yaml:1: team: "sorter" is not the team of subtree teams/sorters`},
	{"weight out of range", "teams/sorters", "0.9", "1.1", `wasted_prefill_weight: 1.1 is out of range; choose from 0 to 1`},
	{"weight not a number", "teams/sorters", "0.9", ".nan", `wasted_prefill_weight: ".nan" is not a number`},
	{"patience over record life", "teams/sorters", "patience: 3s", "patience: 6m", `caller_kinds[0].patience: patience 6m0s is not under record_life 5m0s`},
	{"kind twice", "teams/sorters", "wasted", "caller_kinds: []\nwasted", `caller_kinds: stands here again`},
}

func TestRefusals(t *testing.T) {
	for _, r := range refusals {
		t.Run(r.name, func(t *testing.T) {
			tree := goodTree(t)
			text := goodFleet
			if r.subtree != FleetSubtree {
				text = goodTeam
			}
			assert.Assert(t, cmp.Contains(text, r.old))
			_, err := CheckChange(tree, r.subtree, fillKeyHashes(strings.Replace(text, r.old, r.new, 1)))
			assert.ErrorContains(t, err, r.want)
		})
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer("10GB/s", "10Gbps", "max_tokens: 32000", "max_tokens: many", "timeouts:", "tiemouts:").Replace(goodFleet)
	_, err := parseSubtree(FleetSubtree, fillKeyHashes(text))
	assert.Equal(t, len(strings.Split(err.Error(), "\n")), 3)
}

// TestFleetKeepsWhatTeamsUse checks that a change of the fleet subtree is refused
// if it removes a zone, model or service that a team uses, and that the fault
// names the team. Otherwise the team's requests couldn't run, or its next change
// would be refused for a zone that it already had.
func TestFleetKeepsWhatTeamsUse(t *testing.T) {
	removals := []refusal{
		{"zone", FleetSubtree, "name: barasat", "name: bandel", `availability_zones: teams/sorters needs what this would take away: permitted_zones[1]`},
		{"model", FleetSubtree, "name: fibre", "name: fiber", `models: teams/sorters needs what this would take away: models[0]`},
		{"service", FleetSubtree, "name: bank", "name: banks", `services: teams/sorters needs what this would take away: services[0]`},
	}
	for _, r := range removals {
		t.Run(r.name, func(t *testing.T) {
			tree := goodTree(t)
			text := strings.Replace(goodFleet, r.old, r.new, 1)
			if r.name == "zone" {
				text = strings.Replace(text, "to: barasat", "to: bandel", 1)
			}
			_, err := CheckChange(tree, r.subtree, fillKeyHashes(text))
			assert.ErrorContains(t, err, r.want)
		})
	}
}
