package operator

import (
	"errors"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

var errUnauthorised = errors.New("no operator has this key")

// bootstrapAuthor is recorded as the author of the first fleet subtree.
const bootstrapAuthor = "bootstrap"

// identity is the authenticated sender of a request.
type identity struct {
	operator  settings.Operator
	bootstrap bool // authenticated by the fleet's secret, before any operator exists
}

// authenticate returns the sender of a request. Until the fleet subtree declares
// operators, the fleet's secret is the only valid credential; afterwards it is invalid.
func (h *handler) authenticate(r *http.Request) (identity, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return identity{}, trace.Wrap(errUnauthorised)
	}
	tree := h.options.Tree()
	if tree == nil || len(tree.Fleet.Operators) == 0 {
		if !h.secretHash.Matches(key) {
			return identity{}, trace.Wrap(errUnauthorised)
		}
		return identity{bootstrap: true, operator: settings.Operator{Name: bootstrapAuthor}}, nil
	}
	operator, found := tree.OperatorByKey(key)
	if !found {
		return identity{}, trace.Wrap(errUnauthorised)
	}
	return identity{operator: operator}, nil
}

// checkChange returns an error unless a change is within the sender's scope. This
// instance may lag behind: a fleet subtree may exist that it hasn't applied yet, and it
// would then accept the secret long after operators were declared. So the secret may
// only create the fleet subtree, with expected version 0, which the control group
// rejects once that subtree exists.
func (i identity) checkChange(subtree string, expectedVersion uint64) error {
	if i.bootstrap {
		if subtree == settings.FleetSubtree && expectedVersion == 0 {
			return nil
		}
		return trace.AccessDenied("the fleet's secret only creates the fleet subtree; use an operator's key")
	}
	return i.checkScope(subtree)
}

// checkScope returns an error unless the subtree is within the sender's scope.
func (i identity) checkScope(subtree string) error {
	if i.operator.MayChange(subtree) {
		return nil
	}
	return trace.AccessDenied("operator %s may not use subtree %q", i.operator.Name, subtree)
}

// checkFleetScope returns an error unless the sender may act on the whole fleet.
func (i identity) checkFleetScope() error { return i.checkScope(settings.FleetSubtree) }

// checkInit returns an error unless the sender may use the actions that are available
// before the fleet exists.
func (i identity) checkInit() error {
	if i.bootstrap {
		return nil
	}
	return i.checkFleetScope()
}

// readFleetRequest decodes the body of a request that requires the fleet's scope.
func (i identity) readFleetRequest(w http.ResponseWriter, r *http.Request, into proto.Message) error {
	if err := i.checkFleetScope(); err != nil {
		return err
	}
	return readBody(w, r, into)
}
