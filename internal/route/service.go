package route

import (
	"net/http"
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// callClass is what the settings say of a plain call.
type callClass struct {
	team       settings.Team
	permitted  fleet.ZoneSet
	idempotent bool
	patience   time.Duration // until the endpoint is chosen and free
	callTime   time.Duration // longest call
	priority   int
	timeouts   settings.Timeouts
}

// classifyCall checks a plain call against the settings. Pure.
func classifyCall(tree *settings.Tree, r CallRequest, b Bounds) (callClass, *Failure) {
	team, ok := tree.Teams[r.Team]
	if !ok {
		return callClass{}, notRun(callerapi.CodeUnauthorised, "the team is not in the settings", 0)
	}
	service, ok := findService(tree.Fleet.Services, r.Service)
	if !ok || !contains(team.Services, r.Service) {
		return callClass{}, notRun(callerapi.CodeNoService, "the service is not declared for this team", 0)
	}
	kind := tree.CallerKind(team, r.CallerKind)
	return callClass{
		team:       team,
		permitted:  team.Permitted(),
		idempotent: !r.Once && idempotentCall(service, r.Method, r.Path),
		patience:   patience(kind, r.Patience, b),
		callTime:   orTime(service.Timeout, b.CallTime),
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

// idempotentCall goes by the first route that matches; with none, only GET
// and HEAD may be repeated.
func idempotentCall(s settings.Service, method, path string) bool {
	for _, route := range s.Routes {
		if (route.Method == "*" || route.Method == method) && below(path, route.Prefix) {
			return route.Idempotent
		}
	}
	return method == http.MethodGet || method == http.MethodHead
}

// below tells whether path is prefix or lies under it: "/slips" holds
// "/slips/7" but not "/slipshod".
func below(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
