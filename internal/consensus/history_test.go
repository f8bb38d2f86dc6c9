package consensus

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// operation is a client's read or write of one register.
type operation struct {
	Key, Value string
	read       bool
	called     int
	ended      int // 0 while the outcome is unknown
	position   int // index among the writes of the key; for a read, that of the value read
	// readsBefore is the number of reads of the value that a write replaced.
	readsBefore int
}

// history records the client operations for the linearizability check.
type history struct{ operations []*operation }

func (h *history) begin(op *operation, order int) {
	op.called = order
	h.operations = append(h.operations, op)
}

func (h *history) end(op *operation, order int) { op.ended = order }

// registerState is the number of writes to a register and the number of reads
// since the last write.
type registerState struct{ writes, reads int }

// register is the porcupine model of one key. It allows an operation only at its
// position in the log, which is the order that the protocol guarantees: a write
// comes after all reads of the previous value. This avoids a search over all
// other orders.
var register = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range all {
			key := op.Input.(*operation).Key
			byKey[key] = append(byKey[key], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return registerState{} },
	Step: func(state, input, _ any) (bool, any) {
		op, s := input.(*operation), state.(registerState)
		if op.read {
			return op.position == s.writes, registerState{s.writes, s.reads + 1}
		}
		return op.position == s.writes+1 && op.readsBefore == s.reads, registerState{op.position, 0}
	},
	Equal: func(a, b any) bool { return a == b },
}

// check runs porcupine to check that the operations are linearizable in the
// order of the log. A write of unknown outcome that is not in the log never took
// effect.
func (h *history) check(log map[uint64]*pb.LogEntry, end int) porcupine.CheckResult {
	places := positionsInLog(log)
	reads := map[string]map[int]int{"k": {}, "l": {}, "m": {}}
	var operations []porcupine.Operation
	for _, op := range h.operations {
		place, written := places[op.Value]
		if op.ended == 0 && (op.read || !written) {
			continue
		}
		op.position = place
		if op.read {
			reads[op.Key][place]++
		}
		if op.ended == 0 {
			op.ended = end
		}
		operations = append(operations, porcupine.Operation{
			ClientId: len(operations), Input: op, Call: int64(op.called), Return: int64(op.ended),
		})
	}
	for _, o := range operations {
		op := o.Input.(*operation)
		op.readsBefore = reads[op.Key][op.position-1]
	}
	return porcupine.CheckOperationsTimeout(register, operations, time.Minute)
}

// positionsInLog returns the position of each written value among the writes of
// its key, in the order of the log.
func positionsInLog(log map[uint64]*pb.LogEntry) map[string]int {
	places, counts := map[string]int{}, map[string]int{}
	for _, index := range slices.Sorted(maps.Keys(log)) {
		var command operation
		if log[index].Kind != pb.EntryKind_ENTRY_KIND_COMMAND {
			continue
		}
		if err := json.Unmarshal(log[index].Data, &command); err != nil {
			panic(err)
		}
		counts[command.Key]++
		places[command.Value] = counts[command.Key]
	}
	return places
}

// clientOperation starts a read or write at a random host, mostly at a leader.
func (sim *simulation) clientOperation() {
	h := sim.hosts[sim.random.IntN(len(sim.hosts))]
	for _, candidate := range sim.hosts {
		if candidate.core != nil && candidate.core.IsLeader() && sim.random.IntN(3) > 0 {
			h = candidate
		}
	}
	sim.nextOp++
	op := &operation{Key: string(rune('k' + sim.random.IntN(3))), read: sim.random.IntN(2) == 0}
	if op.read {
		sim.read(h, op)
	} else {
		sim.write(h, op)
	}
}

func (sim *simulation) read(h *host, op *operation) {
	id := sim.nextOp
	sim.history.begin(op, sim.order)
	sim.run(h, func(now time.Time) {
		if h.core.Read(now, id) == nil {
			h.reads[id] = op
		}
	})
}

func (sim *simulation) endRead(h *host, r ReadResult) {
	op, ok := h.reads[r.ID]
	delete(h.reads, r.ID)
	if ok && r.OK {
		op.Value = h.values[op.Key]
		sim.history.end(op, sim.order)
	}
}

func (sim *simulation) write(h *host, op *operation) {
	op.Value = strconv.FormatUint(sim.nextOp, 10)
	data, _ := json.Marshal(op)
	sim.run(h, func(now time.Time) {
		index, term, err := h.core.Propose(now, data)
		if err != nil {
			return
		}
		sim.history.begin(op, sim.order)
		h.writes[index] = pendingWrite{term: term, op: op}
	})
}

// dropPendingWrites discards the pending writes of a host that no longer leads;
// their outcome stays unknown.
func (sim *simulation) dropPendingWrites(h *host) {
	if !h.core.IsLeader() {
		clear(h.writes)
	}
}
