package provision

import (
	"cmp"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Key identifies one kind of demand: prefill or decode of a model, for teams with
// the same permitted zones.
type Key struct {
	Model engineapi.ModelRef
	Kind  fleet.EndpointRole
	Class string // fleet.ZoneSet.Class
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Model.String(), b.Model.String()),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Class, b.Class),
	)
}

// ParseModel parses the form of engineapi.ModelRef.String. ok is false without a
// model or a version.
func ParseModel(s string) (m engineapi.ModelRef, ok bool) {
	model, rest, _ := strings.Cut(s, "@")
	version, adapter, _ := strings.Cut(rest, "/")
	m = engineapi.ModelRef{Model: model, Version: version, Adapter: adapter}
	return m, model != "" && version != ""
}
