package outcome

// choice is what the replies of a majority allow a proposer to propose.
type choice struct {
	bound bool // held.Decision may be decided and must be proposed
	held  Held // what was found; not found: nothing was accepted
}

// choose applies the rule of the consensus to the prepare replies of a
// majority. The value of the highest ballot may be decided and binds.
//
// A fast ballot is the exception. All replicas decide its value, so when one of
// this majority has another value, or none, it isn't decided, and can't be any
// more, since the majority has promised a higher ballot. Then the next lower
// ballot counts: a replica that missed a value decided at an earlier epoch may
// have taken the fast value since.
func choose(replies []Held) choice {
	var found Held
	below := replies
	for {
		best := highest(below)
		if !best.Found() {
			return choice{held: found}
		}
		if best.Ended() || !best.Accepted.Fast() || unanimous(replies, best) {
			return choice{bound: true, held: best}
		}
		if !found.Found() {
			found = best
		}
		below = without(below, best.Accepted)
	}
}

// highest gives what tells most, with the age of the oldest copy.
func highest(replies []Held) Held {
	var best Held
	for _, h := range replies {
		if h.supersedes(best) {
			best = h
		}
	}
	for _, h := range replies {
		if h.Decision == best.Decision {
			best.Age = max(best.Age, h.Age)
		}
	}
	return best
}

func unanimous(replies []Held, best Held) bool {
	for _, h := range replies {
		if h.Accepted != best.Accepted || h.Decision != best.Decision {
			return false
		}
	}
	return true
}

func without(replies []Held, b Ballot) []Held {
	var rest []Held
	for _, h := range replies {
		if h.Accepted != b {
			rest = append(rest, h)
		}
	}
	return rest
}
