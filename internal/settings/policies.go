package settings

import "slices"

// The policy names that each decision takes. Package schedule has one type for
// each; a name without a type would be accepted and then ignored.
var (
	prefillPolicies = []string{"least-wait"}
	decodePolicies  = []string{"two-choices"}
	startPolicies   = []string{"predicted-room"}
	plainPolicies   = []string{"two-choices"}
)

// Policies gives the names that each decision takes, the default first.
func Policies() (prefill, decode, start, plain []string) {
	return slices.Clone(prefillPolicies), slices.Clone(decodePolicies), slices.Clone(startPolicies), slices.Clone(plainPolicies)
}
