package settings

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// Ranges of the fleet subtree's values.
const (
	minLinkRate        ByteRate = 1e6
	maxLinkRate        ByteRate = 1e13
	maxLinkDelay                = time.Second
	maxTokens                   = 10_000_000
	maxKVBytesPerToken ByteSize = 1e9
	maxWeightBytes     ByteSize = 1e14
	maxLoadTime                 = 24 * time.Hour
	maxConcurrentLoads          = 10_000
	maxPatience                 = time.Hour
	maxPriority                 = 9
)

func checkFleet(f *Fleet, document *strictyaml.Document) {
	c := checker{document}
	c.zones(f.Zones)
	c.links(f)
	c.models(f.Models)
	c.services(f.Services)
	c.distinct("endpoint_key_hashes", stringsOf(f.EndpointKeys), "the same hash")
	c.operators(f.Operators)
	c.weightStore(f.WeightStore)
	c.decisions(f.Decisions)
	c.provision(f.Provision)
	c.callerKinds("caller_kinds", f.Callers)
	c.timeouts(f)
}

func (c checker) zones(zones []Zone) {
	c.nonEmpty("availability_zones", len(zones), "declare at least one availability zone")
	names := make([]string, len(zones))
	for n, zone := range zones {
		path := strictyaml.Index("availability_zones", n)
		names[n] = string(zone.Name)
		c.name(strictyaml.Key(path, "name"), names[n])
		c.name(strictyaml.Key(path, "region"), zone.Region)
	}
	c.distinct("availability_zones", names, "the same zone")
}

func (c checker) links(f *Fleet) {
	ends := make([]string, len(f.Links))
	for n, link := range f.Links {
		path := strictyaml.Index("links", n)
		c.zoneDeclared(strictyaml.Key(path, "from"), f, string(link.From))
		c.zoneDeclared(strictyaml.Key(path, "to"), f, string(link.To))
		c.required(strictyaml.Key(path, "rate"), "give the link's rate, such as 10GB/s")
		checkRange(c, strictyaml.Key(path, "rate"), link.Rate, minLinkRate, maxLinkRate)
		checkRange(c, strictyaml.Key(path, "delay"), link.Delay, 0, maxLinkDelay)
		ends[n] = string(link.From) + "+" + string(link.To)
	}
	c.distinct("links", ends, "the link between the same zones")
}

func (c checker) zoneDeclared(path string, f *Fleet, name string) {
	known := zoneNames(f)
	if !slices.Contains(known, name) {
		c.fault(path, "declare it in availability_zones, or use one of "+strings.Join(known, ", "),
			"availability zone %q is not declared", name)
	}
}

func zoneNames(f *Fleet) []string {
	names := make([]string, len(f.Zones))
	for n, zone := range f.Zones {
		names[n] = string(zone.Name)
	}
	return names
}

func (c checker) models(models []Model) {
	names := make([]string, len(models))
	for n, model := range models {
		path := strictyaml.Index("models", n)
		names[n] = model.Name
		c.name(strictyaml.Key(path, "name"), model.Name)
		c.nonEmpty(strictyaml.Key(path, "versions"), len(model.Versions), "list the versions, newest first")
		c.names(strictyaml.Key(path, "versions"), model.Versions)
		c.names(strictyaml.Key(path, "adapters"), model.Adapters)
		checkRange(c, strictyaml.Key(path, "kv_bytes_per_token"), model.KVBytesPerToken, 1, maxKVBytesPerToken)
		checkRange(c, strictyaml.Key(path, "max_tokens"), model.MaxTokens, 1, maxTokens)
		checkRange(c, strictyaml.Key(path, "load_time"), model.LoadTime, time.Millisecond, maxLoadTime)
		checkRange(c, strictyaml.Key(path, "weight_bytes"), model.WeightBytes, 0, maxWeightBytes)
	}
	c.distinct("models", names, "the same model")
}

func (c checker) services(services []Service) {
	names := make([]string, len(services))
	for n, service := range services {
		path := strictyaml.Index("services", n)
		names[n] = service.Name
		c.name(strictyaml.Key(path, "name"), service.Name)
		checkRange(c, strictyaml.Key(path, "timeout"), service.Timeout, time.Millisecond, maxPatience)
		c.routes(strictyaml.Key(path, "routes"), service.Routes)
	}
	c.distinct("services", names, "the same service")
}

// anyMethod in a ServiceRoute matches every method.
const anyMethod = "*"

var methods = []string{
	anyMethod, http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (c checker) routes(path string, routes []ServiceRoute) {
	for n, route := range routes {
		item := strictyaml.Index(path, n)
		c.oneOf(strictyaml.Key(item, "method"), route.Method, methods)
		c.required(strictyaml.Key(item, "idempotent"), "say true or false")
		if !strings.HasPrefix(route.Prefix, "/") || !isUnambiguousPath(route.Prefix) {
			c.fault(strictyaml.Key(item, "prefix"), `write a path that begins with "/", without ".", "..", "//" or "%"`,
				"%q is not a path", route.Prefix)
		}
		c.notShadowed(item, routes[:n], route)
	}
}

// notShadowed reports a route that never applies because an earlier one matches
// all of its calls.
func (c checker) notShadowed(path string, earlier []ServiceRoute, route ServiceRoute) {
	for _, before := range earlier {
		sameMethod := before.Method == anyMethod || before.Method == route.Method
		if sameMethod && prefixCovers(before.Prefix, route.Prefix) {
			c.fault(path, "put it before the route that matches more", "is hidden by the route %s %s before it",
				before.Method, before.Prefix)
			return
		}
	}
}

func (c checker) operators(operators []Operator) {
	names := make([]string, len(operators))
	hashes := make([]string, len(operators))
	fleetCovered := false
	for n, operator := range operators {
		path := strictyaml.Index("operators", n)
		names[n], hashes[n] = operator.Name, string(operator.KeyHash)
		c.name(strictyaml.Key(path, "name"), operator.Name)
		c.required(strictyaml.Key(path, "key_hash"), "give the hash of the operator's key")
		c.nonEmpty(strictyaml.Key(path, "subtrees"), len(operator.Subtrees), `list subtrees: "*", "fleet", "teams/*" or full names`)
		for m, pattern := range operator.Subtrees {
			c.subtreePattern(strictyaml.Index(strictyaml.Key(path, "subtrees"), m), pattern)
		}
		fleetCovered = fleetCovered || operator.MayChange(FleetSubtree)
	}
	c.distinct("operators", names, "the same operator")
	c.distinct("operators", hashes, "the same key")
	// Operators are declared in the fleet subtree: if no operator may
	// change it, none can be added again.
	if !fleetCovered {
		c.fault("operators", `keep at least one operator with "fleet" or "*"`, "no operator may change the fleet subtree")
	}
}

func (c checker) subtreePattern(path, pattern string) {
	team, isTeam := strings.CutPrefix(pattern, TeamPrefix)
	known := pattern == allSubtrees || pattern == FleetSubtree || pattern == allTeams
	if !known && !(isTeam && ValidName(team)) {
		c.fault(path, `write "*", "fleet", "teams/*" or a full name such as "teams/sorters"`, "%q matches no subtree", pattern)
	}
}

func (c checker) weightStore(w WeightStore) {
	checkRange(c, "weight_store.rate", w.Rate, minLinkRate, maxLinkRate)
	checkRange(c, "weight_store.concurrent_loads", w.ConcurrentLoads, 1, maxConcurrentLoads)
}

func (c checker) decisions(d Decisions) {
	c.oneOf("decisions.prefill", d.Prefill, prefillPolicies)
	c.oneOf("decisions.decode", d.Decode, decodePolicies)
	c.oneOf("decisions.start", d.Start, startPolicies)
	c.oneOf("decisions.plain", d.Plain, plainPolicies)
}

func (c checker) callerKinds(path string, kinds []CallerKind) {
	names := make([]string, len(kinds))
	for n, kind := range kinds {
		item := strictyaml.Index(path, n)
		names[n] = kind.Kind
		c.name(strictyaml.Key(item, "kind"), kind.Kind)
		checkRange(c, strictyaml.Key(item, "patience"), kind.Patience, time.Millisecond, maxPatience)
		checkRange(c, strictyaml.Key(item, "priority"), kind.Priority, 0, maxPriority)
	}
	c.distinct(path, names, "the same kind")
}
