package strictyaml

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type inner struct {
	Name string        `yaml:"name"`
	Wait time.Duration `yaml:"wait"`
}

func (i *inner) SetDefaults() { i.Wait = time.Second }

type outer struct {
	Items []inner `yaml:"items"`
	One   inner   `yaml:"one"`
	On    bool    `yaml:"on"`
	Size  int     `yaml:"size"`
	Share float64 `yaml:"share"`
}

func decode(text string) (outer, *Document) {
	target := outer{Size: 7}
	return target, Decode("f.yaml", []byte(text), &target)
}

func TestDecode(t *testing.T) {
	target := outer{Size: 7}
	document := Decode("f.yaml", []byte("items:\n  - name: a\n  - name: b\n    wait: 2s\non: true\nshare: 1\n"), &target)
	assert.NilError(t, document.Err())
	want := outer{Items: []inner{{"a", time.Second}, {"b", 2 * time.Second}}, On: true, Size: 7, Share: 1}
	assert.DeepEqual(t, target, want)
	assert.Assert(t, document.Has("items[1].wait"))
	assert.Assert(t, !document.Has("items[0].wait"))
	document.Fault("items[0].wait", "give one", "is missing")
	assert.Error(t, document.Err(), "f.yaml:2: items[0].wait: is missing; give one")
}

func TestRefused(t *testing.T) {
	for _, row := range []struct{ text, want string }{
		{"", "f.yaml:0: the file is empty"},
		{"# nothing\n", "f.yaml:0: the file is empty"},
		{"[]", "f.yaml:1: is not a map of keys and values"},
		{"on: yes", `f.yaml:1: on: "yes" is neither true nor false`},
		{"on: 'true'", `f.yaml:1: on: "true" is neither true nor false`},
		{"size: 1.0", `"1.0" is not a whole number`},
		{"size: 0x10", `"0x10" is not a whole number`},
		{"size: 1_000", `"1_000" is not a whole number`},
		{"size: 99999999999999999999", "is not a whole number"},
		{"share: .inf", `".inf" is not a number`},
		{"share: half", `"half" is not a number`},
		{"items: {name: a}", "f.yaml:1: items: is not a list"},
		{"items:\n- a", "f.yaml:2: items[0]: is not a map of keys and values"},
		{"one: {name: [a]}", "f.yaml:1: one.name: is a list or a map"},
		{"one: {name: ~}", "one.name: has no value"},
		{"one: {name: !odd a}", "one.name: \"a\" is not text"},
		{"one: &x {name: a}\nitems: [*x]", "anchors and aliases are not taken"},
		{"<<: {on: true}", "<<: unknown key"},
		{"[a]: 1", "unknown key"},
		{"on: true\non: true", "f.yaml:2: on: stands here again, first in line 1"},
		{"on: true\n\tsize: 1", "f.yaml:2: not YAML"},
		{"on: true\n---\n", "second document"},
		{"on: \x00", "not YAML"},
		{"one: {name: \"" + strings.Repeat("x", MaxFileBytes) + "\"}", "keep it under"},
	} {
		_, document := decode(row.text)
		err := document.Err()
		assert.ErrorContains(t, err, row.want, row.text[:min(len(row.text), 40)])
	}
}

// TestFaultsAreBounded guards against a refused change with a million unknown
// keys, whose faults made the daemon grow by hundreds of megabytes.
func TestFaultsAreBounded(t *testing.T) {
	_, document := decode(strings.Repeat(strings.Repeat("k", 200)+": 1\n", MaxFileBytes/210))
	var faults Faults
	assert.Assert(t, errors.As(document.Err(), &faults))
	assert.Equal(t, len(faults), maxFaults)
	assert.Assert(t, len(faults.Error()) < 64<<10)
}

func FuzzDecode(f *testing.F) {
	f.Add("items: [{name: a, wait: 1s}]\none: {name: b}\non: true\nsize: 1\nshare: 0.5")
	f.Add("a: &a [*a]\n---\n? {}\n: !!binary x")
	f.Fuzz(func(t *testing.T, text string) {
		first, document := decode(text)
		second, again := decode(text)
		if (document.Err() == nil) != (again.Err() == nil) || first.Size != second.Size {
			t.Fatal("decoded differently the second time")
		}
	})
}
