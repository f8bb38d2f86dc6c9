package relay

import "time"

// maxDecisions limits the decisions that are kept of one exchange. The first ones show how
// it began; the rest of a long wait is similar.
const maxDecisions = 24

// decisionLog holds the decisions of one exchange so far.
type decisionLog struct {
	entries []decision
	omitted int // decisions beyond those kept
}

// decision is one decision, as it is logged.
type decision struct {
	at       time.Time
	sentence string
	keyvals  []any
}

func (l *decisionLog) add(d decision) {
	if len(l.entries) == maxDecisions {
		l.omitted++
		return
	}
	l.entries = append(l.entries, d)
}

// logDecision records a decision and what it was based on. The decisions are written when
// the exchange ends badly, late, or after more than one attempt; otherwise the last line
// of the exchange suffices, which keeps the log small.
func (ex *activeExchange) logDecision(sentence string, keyvals ...any) {
	ex.decisions.add(decision{at: time.Now(), sentence: sentence, keyvals: keyvals})
}

// writeDecisions writes the decisions, once.
func (ex *activeExchange) writeDecisions() {
	for _, d := range ex.decisions.entries {
		ex.router.options.Part.Info(d.sentence, append([]any{
			"request", ex.exchange.ID, "route", ex.route.Name, "version", ex.version, "at_ms", ex.msSinceArrival(d.at),
		}, d.keyvals...)...)
	}
	if ex.decisions.omitted > 0 {
		ex.router.options.Part.Info("More decisions like these.", "request", ex.exchange.ID, "count", ex.decisions.omitted)
	}
	ex.decisions.entries = nil
}
