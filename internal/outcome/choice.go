package outcome

// choice is what the replies of a majority allow a proposer to propose.
type choice struct {
	bound bool // Held.Decision may be decided and must be proposed
	held  Held // the highest accepted; not found: nothing was
}

// choose applies the rule of the consensus to the prepare replies of a
// majority. The value of the highest ballot may be decided and binds. The fast
// ballot is the exception: its value is decided by all replicas alone, so when
// one of this majority has another value, or none, it isn't decided and can't
// be any more, since the majority has promised a higher ballot.
func choose(replies []Held) choice {
	var best Held
	for _, h := range replies {
		if h.supersedes(best) {
			best = h
		}
	}
	if !best.Found() {
		return choice{}
	}
	for _, h := range replies {
		if h.Decision == best.Decision {
			best.Age = max(best.Age, h.Age)
		}
	}
	return choice{bound: best.Ended() || !best.Accepted.Fast() || unanimous(replies, best), held: best}
}

func unanimous(replies []Held, best Held) bool {
	for _, h := range replies {
		if h.Accepted != best.Accepted || h.Decision != best.Decision {
			return false
		}
	}
	return true
}
