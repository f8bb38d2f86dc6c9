package route

import (
	"net/http"
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// callParams are the settings that apply to a plain call.
type callParams struct {
	team       settings.Team
	permitted  fleet.ZoneSet
	idempotent bool
	patience   time.Duration // for getting a slot at an endpoint
	callTime   time.Duration // maximum duration of one exchange
	priority   int
	timeouts   settings.Timeouts
}

// resolveCallParams checks a plain call against the settings. Pure.
func resolveCallParams(tree *settings.Tree, r CallRequest, b Bounds) (callParams, *Failure) {
	team, ok := tree.Teams[r.Team]
	if !ok {
		return callParams{}, notRun(callerapi.CodeUnauthorised, "the team is not in the settings", 0)
	}
	service, ok := findService(tree.Fleet.Services, r.Service)
	if !ok || !contains(team.Services, r.Service) {
		return callParams{}, notRun(callerapi.CodeNoService, "the service is not declared for this team", 0)
	}
	kind := tree.CallerKind(team, r.CallerKind)
	return callParams{
		team:       team,
		permitted:  team.Permitted(),
		idempotent: !r.AtMostOnce && idempotentCall(service, r.Method, r.Path),
		patience:   patience(kind, r.Patience, b),
		callTime:   durationOrDefault(service.Timeout, b.DefaultCallTimeout),
		priority:   kind.Priority,
		timeouts:   tree.Fleet.Timeouts,
	}, nil
}

func findService(services []settings.Service, name string) (settings.Service, bool) {
	for _, s := range services {
		if s.Name == name {
			return s, true
		}
	}
	return settings.Service{}, false
}

// idempotentCall reports whether a call may be repeated, by the first route that
// matches. Without a matching route only GET and HEAD may.
func idempotentCall(s settings.Service, method, path string) bool {
	for _, route := range s.Routes {
		if (route.Method == "*" || route.Method == method) && isUnderPrefix(path, route.Prefix) {
			return route.Idempotent
		}
	}
	return method == http.MethodGet || method == http.MethodHead
}

// isUnderPrefix reports whether path is prefix or lies under it: "/slips/7" lies under
// "/slips", "/slipshod" doesn't.
func isUnderPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
