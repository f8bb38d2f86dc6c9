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

// bootstrapAuthor is the author of the first fleet subtree.
const bootstrapAuthor = "bootstrap"

// identity is who sends a request.
type identity struct {
	operator  settings.Operator
	bootstrap bool // authenticated by the fleet's secret, before any operator exists
}

// identify finds the operator of a request. Before the fleet subtree exists no
// operator is declared, and the fleet's secret is the only credential; from
// then on it is none.
func (h *handler) identify(r *http.Request) (identity, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return identity{}, trace.Wrap(errUnauthorised)
	}
	tree := h.options.Tree()
	if tree == nil || len(tree.Fleet.Operators) == 0 {
		if !h.secret.Matches(key) {
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

// mayChange tells whether a change is within the sender's scope. This instance
// may lag behind: a fleet subtree may exist that it hasn't applied yet, and
// the secret would then still be accepted here, long after operators were
// declared. So the secret only creates the fleet subtree, with expected
// version 0, which the control group refuses once there is one.
func (i identity) mayChange(subtree string, expectedVersion uint64) error {
	if i.bootstrap {
		if subtree == settings.FleetSubtree && expectedVersion == 0 {
			return nil
		}
		return trace.AccessDenied("the fleet's secret only creates the fleet subtree; use an operator's key")
	}
	return i.covers(subtree)
}

// covers tells whether the sender's scope has a subtree.
func (i identity) covers(subtree string) error {
	if i.operator.MayChange(subtree) {
		return nil
	}
	return trace.AccessDenied("operator %s may not use subtree %q", i.operator.Name, subtree)
}

// ownsFleet tells whether the sender may act on the whole fleet.
func (i identity) ownsFleet() error { return i.covers(settings.FleetSubtree) }

// mayInit tells whether the sender may act on a fleet that need not exist yet.
func (i identity) mayInit() error {
	if i.bootstrap {
		return nil
	}
	return i.ownsFleet()
}

// readForFleet decodes the body of a request that takes the fleet's scope.
func (i identity) readForFleet(w http.ResponseWriter, r *http.Request, into proto.Message) error {
	if err := i.ownsFleet(); err != nil {
		return err
	}
	return read(w, r, into)
}
