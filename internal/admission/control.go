package admission

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Control implements Controller. Its memory is bounded by Options. Not safe
// for concurrent use.
type Control struct {
	options   Options
	teams     map[fleet.Team]*team
	taken     decaying // work of all teams admitted
	back      comebacks
	byTeam    budgets[fleet.Team]
	byTarget  budgets[fleet.EndpointID]
	level     float64       // work for a unit of share
	patience  time.Duration // least of the teams at work; 0: none
	leveledAt time.Time
	demands   []teamDemand // reused
}

var _ Controller = (*Control)(nil)

// New makes a Control that has seen nothing.
func New(options Options) *Control {
	options = options.withDefaults()
	return &Control{
		options:  options,
		teams:    map[fleet.Team]*team{},
		byTeam:   newBudgets[fleet.Team](options, options.MaxTeams),
		byTarget: newBudgets[fleet.EndpointID](options, options.MaxEndpoints),
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
	t.offered.add(now, r.Work, c.options.Window)
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
	c.take(now, r, t)
	return Decision{Admitted: true}
}

// Done implements Controller.
func (c *Control) Done(_ time.Time, r Request) {
	if t, ok := c.teams[r.Team]; ok && t.running > 0 {
		t.running--
	}
}

// FirstToken implements Controller.
func (c *Control) FirstToken(now time.Time, r Request, waited time.Duration) {
	if t, ok := c.teams[r.Team]; ok {
		t.bias.learn(now, r.PredictedWait, waited)
	}
}

// MayRetry implements Controller. Nothing is spent unless both have it.
func (c *Control) MayRetry(now time.Time, team fleet.Team, endpoint fleet.EndpointID) bool {
	ofTeam := c.byTeam.get(now, team)
	ofTarget := c.byTarget.get(now, endpoint)
	if ofTeam.tokens < 1 || ofTarget.tokens < 1 {
		return false
	}
	ofTeam.tokens--
	ofTarget.tokens--
	return true
}

// Succeeded implements Controller.
func (c *Control) Succeeded(now time.Time, team fleet.Team, endpoint fleet.EndpointID) {
	c.byTeam.get(now, team).tokens += c.options.RetryRatio
	c.byTarget.get(now, endpoint).tokens += c.options.RetryRatio
}

func (c *Control) checkLimits(now time.Time, r Request, t *team) (Decision, bool) {
	if r.Limits.Concurrent > 0 && t.running >= r.Limits.Concurrent {
		return c.refuse(now, r, callerapi.CodeLimit, 0), true
	}
	perSec := r.Limits.RequestsPerSecond
	if perSec <= 0 {
		return Decision{}, false
	}
	t.rate.fill(now, perSec, max(1, perSec))
	if wait := t.rate.until(perSec); wait > 0 {
		return c.refuse(now, r, callerapi.CodeLimit, wait), true
	}
	return Decision{}, false
}

func (c *Control) take(now time.Time, r Request, t *team) {
	t.running++
	if r.Limits.RequestsPerSecond > 0 {
		t.rate.tokens--
	}
	t.admitted.add(now, r.Work, c.options.Window)
	c.taken.add(now, r.Work, c.options.Window)
}

func (c *Control) refuse(now time.Time, r Request, code callerapi.Code, wait time.Duration) Decision {
	return Decision{Code: code, RetryAfter: c.back.after(now, wait, r.DrainPerSec, c.options)}
}

// overShare tells whether the team has had its fair share while others wait.
// It guards against one team's flood pushing the wait over the patience of
// the others, who would be refused though they ask for little: the team over
// its share is refused while the wait is still within everyone's patience.
func (c *Control) overShare(now time.Time, r Request, t *team) bool {
	c.relevel(now)
	patience := r.Patience
	if c.patience > 0 {
		patience = min(patience, c.patience)
	}
	if patience <= 0 || len(c.demands) < 2 {
		return false
	}
	pressure := float64(r.PredictedWait) / float64(patience)
	if pressure < fairnessFrom {
		return false
	}
	had := t.admitted.value(now, c.options.Window)
	return had+r.Work > allowed(c.level, t.share, pressure)
}

// relevel computes the fair level anew when it is old.
func (c *Control) relevel(now time.Time) {
	if !c.leveledAt.IsZero() && now.Sub(c.leveledAt) < levelLife {
		return
	}
	c.leveledAt = now
	c.patience = 0
	c.demands = c.demands[:0]
	for _, t := range c.teams {
		if now.Sub(t.seen) > c.options.Window {
			continue
		}
		work := t.offered.value(now, c.options.Window)
		c.demands = append(c.demands, teamDemand{share: t.share, work: work})
		if c.patience == 0 || t.patience < c.patience {
			c.patience = t.patience
		}
	}
	c.level = fairLevel(c.demands, c.taken.value(now, c.options.Window))
}

// team gives the team's record; nil when there is no room for one more.
func (c *Control) team(now time.Time, r Request) *team {
	t, ok := c.teams[r.Team]
	if !ok {
		if !c.makeRoom(now) {
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
	t.seen = now
	return t
}

// makeRoom forgets teams that run nothing and asked for nothing lately.
func (c *Control) makeRoom(now time.Time) bool {
	if len(c.teams) < c.options.MaxTeams {
		return true
	}
	for name, t := range c.teams {
		if t.running == 0 && now.Sub(t.seen) > c.options.Window {
			delete(c.teams, name)
		}
	}
	return len(c.teams) < c.options.MaxTeams
}
