// Package settings is the shared settings tree: one subtree for the fleet and
// one for each team, written in YAML, validated by this package and replicated
// by the control group. A published Tree and its contents are immutable.
package settings
