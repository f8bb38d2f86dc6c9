// Package strictyaml reads one YAML document into a struct and finds every
// fault of the file in one pass, each with file, line, YAML path, what is
// wrong and what would be right. It knows no default silently: what a file
// doesn't name stays as the target had it, and what the target doesn't know is
// refused.
//
// Targets are structs with yaml tags whose fields are strings, booleans,
// integers, floats, time.Duration, types with ScalarUnmarshaler, structs and
// slices of these.
package strictyaml
