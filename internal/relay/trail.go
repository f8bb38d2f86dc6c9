package relay

import "time"

// mostTrail bounds the decisions that are kept of one exchange. The first ones
// tell how it began; of a long wait the rest is alike.
const mostTrail = 24

// trail is the decisions of one exchange so far.
type trail struct {
	steps  []step
	untold int // decisions beyond those kept
}

// step is one decision.
type step struct {
	at       time.Time
	sentence string
	keyvals  []any
}

func (t *trail) add(s step) {
	if len(t.steps) == mostTrail {
		t.untold++
		return
	}
	t.steps = append(t.steps, s)
}

// log notes a decision with what decided it. The lines of an exchange are
// written when it ends badly, late, or after more than one send: one that went
// well is told by its last line alone, so that the volume stays small.
func (l *life) log(sentence string, keyvals ...any) {
	l.trail.add(step{at: time.Now(), sentence: sentence, keyvals: keyvals})
}

// writeTrail writes the decisions, once.
func (l *life) writeTrail() {
	for _, s := range l.trail.steps {
		l.router.options.Part.Info(s.sentence, append([]any{
			"request", l.x.ID, "route", l.route.Name, "version", l.version, "at_ms", l.since(s.at),
		}, s.keyvals...)...)
	}
	if l.trail.untold > 0 {
		l.router.options.Part.Info("More decisions like these.", "request", l.x.ID, "count", l.trail.untold)
	}
	l.trail.steps = nil
}
