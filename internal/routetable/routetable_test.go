package routetable

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func document() *Document {
	route := func(name, host, prefix, service string) Route {
		return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Backends: []Backend{{Service: service, Weight: 1}}}
	}
	return &Document{
		Version: 1,
		Routes: []Route{
			route("short", "a.example", "/x/", "one"),
			route("long", "a.example", "/x/y/", "two"),
			route("other", "B.example", "/", "one"),
		},
		Services: []Service{{Name: "one"}, {Name: "two", Engine: &Engine{KVTokens: 5}}},
	}
}

func TestMatch(t *testing.T) {
	table := Compile(document())
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/anything", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := table.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, test.want, "%s%s", test.host, test.path)
	}
	assert.Equal(t, table.Service("two").Engine.KVTokens, 5)
	assert.Assert(t, table.Service("three") == nil)
}

func TestCheck(t *testing.T) {
	assert.NilError(t, document().Check())
	for name, test := range map[string]struct {
		change func(d *Document)
		want   string
	}{
		"unknown service":      {func(d *Document) { d.Routes[0].Backends[0].Service = "none" }, "unknown"},
		"same host and prefix": {func(d *Document) { d.Routes[1].Prefix = "/x/" }, "share"},
		"same host, other case": {func(d *Document) {
			d.Routes[2] = d.Routes[0]
			d.Routes[2].Host = "A.EXAMPLE"
		}, "share"},
		"no weight":       {func(d *Document) { d.Routes[0].Backends[0].Weight = 0 }, "add up to 0"},
		"negative weight": {func(d *Document) { d.Routes[0].Backends[0].Weight = -1 }, "weight -1"},
		"no timeout":      {func(d *Document) { d.Routes[0].Timeout = 0 }, "no timeout"},
		"no backend":      {func(d *Document) { d.Routes[0].Backends = nil }, "add up to 0"},
		"relative prefix": {func(d *Document) { d.Routes[0].Prefix = "x/" }, "slash"},
	} {
		d := document()
		test.change(d)
		assert.ErrorContains(t, d.Check(), test.want, name)
	}
}

func TestChooseByWeight(t *testing.T) {
	r := Route{Backends: []Backend{{"a", 90}, {"b", 0}, {"c", 10}}}
	for point, want := range map[float64]string{0: "a", 0.899: "a", 0.9: "c", 0.9999: "c"} {
		assert.Equal(t, r.ChooseService(point), want)
	}
}

func TestRepeatable(t *testing.T) {
	assert.Assert(t, (&Route{Kind: KindIdempotent}).Repeatable())
	assert.Assert(t, (&Route{Kind: KindStream, Resumable: true}).Repeatable())
	assert.Assert(t, !(&Route{Kind: KindStream}).Repeatable())
	assert.Assert(t, !(&Route{Kind: KindAtMostOnce, Resumable: true}).Repeatable())
}

// Prefixes of many lengths on one host, some of which are prefixes of others.
func TestLongestPrefixOfMany(t *testing.T) {
	d := &Document{}
	for n, prefix := range []string{"/a/b/c/", "/", "/a/", "/aa/", "/a/b/", "/b/c/d/e/"} {
		d.Routes = append(d.Routes, Route{Name: prefix, Host: "h", Prefix: prefix, Priority: n})
	}
	table := Compile(d)
	for path, want := range map[string]string{
		"/": "/", "/a": "/", "/a/": "/a/", "/aa/x": "/aa/", "/a/b/c": "/a/b/", "/a/b/c/d": "/a/b/c/", "/b/c/d/": "/",
		"/b/c/d/e/f": "/b/c/d/e/",
	} {
		assert.Equal(t, table.Match("h", path).Name, want, path)
	}
	assert.Assert(t, table.Match("h", "") == nil)
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{50, 5000, 50000} {
		d := &Document{}
		for i := range n {
			d.Routes = append(d.Routes, Route{Host: "h", Prefix: fmt.Sprintf("/%08x/", i*7919)})
		}
		table := Compile(d)
		last := d.Routes[n-1].Prefix + "x"
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				table.Match("h", last)
			}
		})
	}
}
