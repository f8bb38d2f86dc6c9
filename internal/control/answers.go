package control

import "github.com/hyssopsail/hyssopsail/internal/pb"

// answers keeps the first result of each change ID, oldest first. A resent
// change must get its first result although the leader that gave it is gone,
// so the table is part of the replicated state and of its snapshots.
type answers struct {
	byID  map[string]*pb.AnsweredChange
	order []*pb.AnsweredChange
}

func newAnswers() *answers {
	return &answers{byID: make(map[string]*pb.AnsweredChange)}
}

func (a *answers) add(c *pb.AnsweredChange) {
	a.byID[c.ChangeId] = c
	a.order = append(a.order, c)
	if len(a.order) > maxAnswers {
		a.dropOldest()
	}
}

func (a *answers) expire(index uint64) {
	for len(a.order) > 0 && a.order[0].AppliedAt+answerLife < index {
		a.dropOldest()
	}
}

func (a *answers) dropOldest() {
	delete(a.byID, a.order[0].ChangeId)
	a.order = a.order[1:]
}
