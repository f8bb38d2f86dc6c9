package admission

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Control implements Controller. Its memory is bounded by Options. Not safe for
// concurrent use.
type Control struct {
	options         Options
	teams           map[fleet.Team]*team
	admittedWork    decayingSum // admitted work of all teams
	callerRepeats   repeatSpreader
	teamBudgets     retryBudgets[fleet.Team]
	endpointBudgets retryBudgets[fleet.EndpointID]
	level           float64       // fair work per unit of share
	minPatience     time.Duration // least patience of the active teams; 0: no active team
	levelAt         time.Time     // when level was computed
	demands         []teamDemand  // reused by updateLevel
}

var _ Controller = (*Control)(nil)

// New returns a Control without history.
func New(options Options) *Control {
	options = options.withDefaults()
	return &Control{
		options:         options,
		teams:           map[fleet.Team]*team{},
		teamBudgets:     newRetryBudgets[fleet.Team](options, options.MaxTeams),
		endpointBudgets: newRetryBudgets[fleet.EndpointID](options, options.MaxEndpoints),
	}
}

// Admit implements Controller.
func (c *Control) Admit(now time.Time, r Request) Decision {
	if r.Limits.PromptTokens > 0 && r.PromptTokens > r.Limits.PromptTokens {
		return Decision{Code: callerapi.CodeTooLarge, Final: true}
	}
	t := c.team(now, r)
	if t == nil {
		return c.refuse(now, r, callerapi.CodeOverloaded, 0)
	}
	t.offered.add(now, r.WorkMs, c.options.Window)
	if refusal, refused := c.checkLimits(now, r, t); refused {
		return refusal
	}
	r.PredictedWait += t.bias.correction(now, r.Patience)
	if r.PredictedWait > r.Patience {
		return c.refuse(now, r, callerapi.CodeOverloaded, r.PredictedWait-r.Patience)
	}
	if c.overShare(now, r, t) {
		return c.refuse(now, r, callerapi.CodeOverloaded, r.PredictedWait/2)
	}
	c.recordAdmission(now, r, t)
	return Decision{Admitted: true}
}

// Done implements Controller.
func (c *Control) Done(_ time.Time, r Request) {
	if t, ok := c.teams[r.Team]; ok && t.running > 0 {
		t.running--
	}
}

// ObserveFirstToken implements Controller.
func (c *Control) ObserveFirstToken(now time.Time, r Request, waited time.Duration) {
	if t, ok := c.teams[r.Team]; ok {
		t.bias.observe(now, r.PredictedWait, waited)
	}
}

// TakeRetry implements Controller. It takes nothing unless both budgets have a
// token.
func (c *Control) TakeRetry(now time.Time, team fleet.Team, endpoint fleet.EndpointID) bool {
	ofTeam := c.teamBudgets.get(now, team)
	ofEndpoint := c.endpointBudgets.get(now, endpoint)
	if ofTeam.tokens < 1 || ofEndpoint.tokens < 1 {
		return false
	}
	ofTeam.tokens--
	ofEndpoint.tokens--
	return true
}

// RecordSuccess implements Controller.
func (c *Control) RecordSuccess(now time.Time, team fleet.Team, endpoint fleet.EndpointID) {
	c.teamBudgets.get(now, team).tokens += c.options.RetryRatio
	c.endpointBudgets.get(now, endpoint).tokens += c.options.RetryRatio
}

func (c *Control) checkLimits(now time.Time, r Request, t *team) (Decision, bool) {
	if r.Limits.Concurrent > 0 && t.running >= r.Limits.Concurrent {
		return c.refuse(now, r, callerapi.CodeLimit, 0), true
	}
	perSec := r.Limits.RequestsPerSecond
	if perSec <= 0 {
		return Decision{}, false
	}
	t.rate.refill(now, perSec, max(1, perSec))
	if wait := t.rate.timeToToken(perSec); wait > 0 {
		return c.refuse(now, r, callerapi.CodeLimit, wait), true
	}
	return Decision{}, false
}

func (c *Control) recordAdmission(now time.Time, r Request, t *team) {
	t.running++
	if r.Limits.RequestsPerSecond > 0 {
		t.rate.tokens--
	}
	t.admitted.add(now, r.WorkMs, c.options.Window)
	c.admittedWork.add(now, r.WorkMs, c.options.Window)
}

func (c *Control) refuse(now time.Time, r Request, code callerapi.Code, wait time.Duration) Decision {
	return Decision{Code: code, RetryAfter: c.callerRepeats.retryAfter(now, wait, r.DrainPerSec, c.options)}
}

// overShare reports whether the team exceeds its fair share under load. Without
// it, one team's flood could push the wait over the patience of other teams, and
// their few requests would be refused. The team over its share is refused while
// the wait is still within every team's patience.
func (c *Control) overShare(now time.Time, r Request, t *team) bool {
	c.updateLevel(now)
	patience := r.Patience
	if c.minPatience > 0 {
		patience = min(patience, c.minPatience)
	}
	if patience <= 0 || len(c.demands) < 2 {
		return false
	}
	pressure := float64(r.PredictedWait) / float64(patience)
	if pressure < fairStartPressure {
		return false
	}
	admitted := t.admitted.value(now, c.options.Window)
	return admitted+r.WorkMs > allowedWork(c.level, t.share, pressure)
}

// updateLevel recomputes the fair level if it is older than levelTTL.
func (c *Control) updateLevel(now time.Time) {
	if !c.levelAt.IsZero() && now.Sub(c.levelAt) < levelTTL {
		return
	}
	c.levelAt = now
	c.minPatience = 0
	c.demands = c.demands[:0]
	for _, t := range c.teams {
		if now.Sub(t.lastSeen) > c.options.Window {
			continue
		}
		work := t.offered.value(now, c.options.Window)
		c.demands = append(c.demands, teamDemand{share: t.share, work: work})
		if c.minPatience == 0 || t.patience < c.minPatience {
			c.minPatience = t.patience
		}
	}
	c.level = fairLevel(c.demands, c.admittedWork.value(now, c.options.Window))
}

// team returns the team's record, or nil if there is no capacity for a new one.
func (c *Control) team(now time.Time, r Request) *team {
	t, ok := c.teams[r.Team]
	if !ok {
		if !c.evictIdleTeams(now) {
			return nil
		}
		t = &team{}
		c.teams[r.Team] = t
	}
	t.share = r.Share
	if t.share <= 0 {
		t.share = 1
	}
	t.patience = r.Patience
	t.lastSeen = now
	return t
}

// evictIdleTeams removes teams without running or recent requests if the limit
// is reached, and reports whether a new team fits.
func (c *Control) evictIdleTeams(now time.Time) bool {
	if len(c.teams) < c.options.MaxTeams {
		return true
	}
	for name, t := range c.teams {
		if t.running == 0 && now.Sub(t.lastSeen) > c.options.Window {
			delete(c.teams, name)
		}
	}
	return len(c.teams) < c.options.MaxTeams
}
