package control

import "github.com/hyssopsail/hyssopsail/internal/pb"

// changeResults keeps the first result of each change ID, oldest first. A
// repeated change must get its first result even after the leader that answered
// it has failed, so the table is part of the replicated state and its snapshots.
type changeResults struct {
	byID  map[string]*pb.AnsweredChange
	order []*pb.AnsweredChange
}

func newChangeResults() *changeResults {
	return &changeResults{byID: make(map[string]*pb.AnsweredChange)}
}

func (a *changeResults) add(c *pb.AnsweredChange) {
	a.byID[c.ChangeId] = c
	a.order = append(a.order, c)
	if len(a.order) > maxChangeResults {
		a.dropOldest()
	}
}

func (a *changeResults) expire(index uint64) {
	for len(a.order) > 0 && a.order[0].AppliedAt+changeResultLifeEntries < index {
		a.dropOldest()
	}
}

func (a *changeResults) dropOldest() {
	delete(a.byID, a.order[0].ChangeId)
	a.order = a.order[1:]
}
