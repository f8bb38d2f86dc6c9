package settings

import (
	"fmt"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const goodFleet = `availability_zones:
  - {name: howrah, region: bengal}
  - {name: barasat, region: bengal}
  - {name: durgapur, region: bengal}
links:
  - {from: howrah, to: barasat, rate: 10GB/s, delay: 300us}
models:
  - name: fibre
    versions: [v2, v1]
    adapters: [cotton]
    kv_bytes_per_token: 128KB
    max_tokens: 32000
services:
  - name: bank
    timeout: 5s
    routes:
      - {method: POST, prefix: /slips, idempotent: false}
      - {method: PUT, prefix: /, idempotent: true}
operators:
  - name: root
    key_hash: %ROOT%
    subtrees: ["*"]
  - name: sorter-lead
    key_hash: %LEAD%
    subtrees: [teams/sorters]
caller_kinds:
  - {kind: sorter, patience: 20s, priority: 4}
timeouts:
  record_life: 5m
`

const goodTeam = `team: sorters
key_hashes: ["%SORTERS%"]
permitted_zones: [howrah, barasat]
models: [fibre]
services: [bank]
wasted_prefill_weight: 0.9
caller_kinds:
  - {kind: volunteer, patience: 3s, priority: 8}
`

// fillKeyHashes replaces the placeholders of key hashes in a subtree's text.
func fillKeyHashes(text string) []byte {
	for _, name := range []string{"ROOT", "LEAD", "SORTERS"} {
		text = strings.ReplaceAll(text, "%"+name+"%", string(keyhash.Of(strings.ToLower(name)+"-key")))
	}
	return []byte(text)
}

func goodTree(t testing.TB) *Tree {
	t.Helper()
	tree, err := CheckChange(EmptyTree(), FleetSubtree, fillKeyHashes(goodFleet))
	assert.NilError(t, err)
	tree, err = CheckChange(tree, "teams/sorters", fillKeyHashes(goodTeam))
	assert.NilError(t, err)
	return tree
}

// treeWithTeams returns goodTree with n more teams.
func treeWithTeams(t testing.TB, n int) *Tree {
	t.Helper()
	tree := goodTree(t)
	for i := range n {
		name := fmt.Sprintf("team-%d", i)
		next, err := parseSubtree("teams/"+name, teamText(name))
		assert.NilError(t, err)
		tree.setTeam(*next.Team)
		tree.Versions["teams/"+name] = 1
	}
	return tree
}

// teamText returns the subtree of a small team whose key is its name.
func teamText(name string) []byte {
	return fmt.Appendf(nil, "team: %s\nkey_hashes: [%q]\npermitted_zones: [howrah, barasat]\nmodels: [fibre]\n"+
		"services: [bank]\ntargets: {first_token: 1600ms, token_gap: 38ms}\nlimits: {concurrent: 40, prompt_tokens: 20000}\n", name, keyhash.Of(name))
}
