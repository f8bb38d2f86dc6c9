package main

import (
	"fmt"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// Keys used in a measured fleet.
const (
	operatorKey = "capacity-operator-key"
	endpointKey = "capacity-endpoint-key"
)

// Names in a measured fleet's settings.
const (
	modelName   = "notes"
	serviceName = "slips"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

func fleetDocument() string {
	var b strings.Builder
	b.WriteString("availability_zones:\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "  - {name: %s, region: home}\n", z)
	}
	b.WriteString("links:\n")
	for _, from := range zones {
		for _, to := range zones {
			fmt.Fprintf(&b, "  - {from: %s, to: %s, rate: 5GB/s, delay: 400us}\n", from, to)
		}
	}
	fmt.Fprintf(&b, `models:
  - {name: %s, versions: ["1"], kv_bytes_per_token: 131072B, max_tokens: 32768, load_time: 30s, weight_bytes: 16GB}
services:
  - name: %s
    timeout: 5s
    routes:
      - {method: POST, prefix: /once, idempotent: false}
      - {method: POST, prefix: /, idempotent: true}
endpoint_key_hashes: [%q]
operators:
  - {name: capacity, key_hash: %q, subtrees: ["*"]}
weight_store: {rate: 1GB/s, concurrent_loads: 2}
caller_kinds:
  - {kind: sorter, patience: 10s, priority: 5}
timeouts: {address_keep: 1s}
`, modelName, serviceName, keyhash.Of(endpointKey), keyhash.Of(operatorKey))
	return b.String()
}

func teamName(n int) string { return fmt.Sprintf("team-%04d", n) }

func teamKey(n int) string { return fmt.Sprintf("capacity-key-of-%s", teamName(n)) }

// teamDocument returns a team's subtree, of about 400 bytes. Revisions differ only
// in the share.
func teamDocument(n, revision int) string {
	return fmt.Sprintf(`team: %s
key_hashes: [%q]
permitted_zones: [%s]
models: [%s]
services: [%s]
targets: {first_token: 1600ms, token_gap: 38ms}
wasted_prefill_weight: 0.5
share: %d
limits: {concurrent: 1000, prompt_tokens: 16000}
`, teamName(n), keyhash.Of(teamKey(n)), strings.Join(permittedZones(n), ", "), modelName, serviceName, 1+revision%100)
}

// permittedZones returns all zones for two of three teams, and two zones for the
// third, so that there are two different sets.
func permittedZones(n int) []string {
	if n%3 == 2 {
		return zones[:2]
	}
	return zones
}
