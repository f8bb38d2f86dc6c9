// Package settings is the shared settings tree: one subtree for the fleet and
// one for each team, written in YAML, checked in one place and replicated by
// the control group. A Tree and what it holds never change once published.
package settings
