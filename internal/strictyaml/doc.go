// Package strictyaml decodes one YAML document into a struct and finds all faults
// of the file in one pass, each with file, line, YAML path, the problem and its
// remedy. It applies no implicit defaults: what a file doesn't set keeps the
// target's value, and keys that the target doesn't have are refused.
//
// Targets are structs with yaml tags whose fields are strings, booleans,
// integers, floats, time.Duration, types with ScalarUnmarshaler, structs and
// slices of these.
package strictyaml
