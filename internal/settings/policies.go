package settings

import "slices"

// The policy names that each decision accepts. Package schedule implements each
// of them; a name without an implementation would be accepted and then ignored.
var (
	prefillPolicies = []string{"sampled-wait", "least-wait", "two-choices", "round-robin", "least-reported-load"}
	decodePolicies  = []string{"two-choices", "least-wait", "sampled-wait", "round-robin", "least-reported-load"}
	startPolicies   = []string{"predicted-room", "prefill-first", "reserve-first"}
	plainPolicies   = []string{"two-choices", "least-wait", "sampled-wait", "round-robin", "least-reported-load"}
)

// Policies returns the policy names that each decision accepts, the default first.
func Policies() (prefill, decode, start, plain []string) {
	return slices.Clone(prefillPolicies), slices.Clone(decodePolicies), slices.Clone(startPolicies), slices.Clone(plainPolicies)
}
