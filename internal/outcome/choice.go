package outcome

// proposalChoice is what the prepare replies of a majority allow a proposer to propose.
type proposalChoice struct {
	bound  bool         // record.Decision may already be decided and must be proposed
	record StoredRecord // what was found; without a decision, nothing was accepted
}

// chooseProposal applies the rule of the consensus to the prepare replies of a
// majority: the value of the highest ballot may be decided and must be proposed.
//
// The fast ballot is the exception. Its value is decided only when all replicas accept
// it. If one of this majority has another value, or none, the fast value isn't decided,
// and can't be any more, since the majority has promised a higher ballot. Then the next
// lower ballot counts: a replica that missed a value decided at an earlier epoch may
// have accepted the fast value since.
func chooseProposal(replies []StoredRecord) proposalChoice {
	var found StoredRecord
	remaining := replies
	for {
		best := highestRecord(remaining)
		if !best.HasDecision() {
			return proposalChoice{record: found}
		}
		if best.HasOutcome() || !best.Accepted.Fast() || unanimous(replies, best) {
			return proposalChoice{bound: true, record: best}
		}
		if !found.HasDecision() {
			found = best
		}
		remaining = withoutBallot(remaining, best.Accepted)
	}
}

// highestRecord returns the record that supersedes the others, with the age of the
// oldest copy of its decision.
func highestRecord(replies []StoredRecord) StoredRecord {
	var best StoredRecord
	for _, r := range replies {
		if r.supersedes(best) {
			best = r
		}
	}
	for _, r := range replies {
		if r.Decision == best.Decision {
			best.Age = max(best.Age, r.Age)
		}
	}
	return best
}

func unanimous(replies []StoredRecord, best StoredRecord) bool {
	for _, r := range replies {
		if r.Accepted != best.Accepted || r.Decision != best.Decision {
			return false
		}
	}
	return true
}

func withoutBallot(replies []StoredRecord, b Ballot) []StoredRecord {
	var rest []StoredRecord
	for _, r := range replies {
		if r.Accepted != b {
			rest = append(rest, r)
		}
	}
	return rest
}
