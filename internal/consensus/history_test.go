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
	place      int // among the writes of the key; of a read, that of its value
	// readsBefore counts the reads of the value that a write replaced.
	readsBefore int
}

// history gathers the operations whose outcome matters.
type history struct{ operations []*operation }

func (h *history) begin(op *operation, order int) {
	op.called = order
	h.operations = append(h.operations, op)
}

func (h *history) end(op *operation, order int) { op.ended = order }

// registerState is a register after so many writes and, since the last of
// them, so many reads.
type registerState struct{ writes, reads int }

// register is the model of one key. An operation is allowed only at its place
// in the log, which is the order the protocol promises: a write after all
// reads of the value before. It spares porcupine the search over all others.
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
			return op.place == s.writes, registerState{s.writes, s.reads + 1}
		}
		return op.place == s.writes+1 && op.readsBefore == s.reads, registerState{op.place, 0}
	},
	Equal: func(a, b any) bool { return a == b },
}

// check asks porcupine whether the operations, with their times, fit the log.
// A write of unknown outcome that is not in the log never took effect.
func (h *history) check(log map[uint64]*pb.LogEntry, end int) porcupine.CheckResult {
	places := placesInLog(log)
	reads := map[string]map[int]int{"k": {}, "l": {}, "m": {}}
	var operations []porcupine.Operation
	for _, op := range h.operations {
		place, written := places[op.Value]
		if op.ended == 0 && (op.read || !written) {
			continue
		}
		op.place = place
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
		op.readsBefore = reads[op.Key][op.place-1]
	}
	return porcupine.CheckOperationsTimeout(register, operations, time.Minute)
}

// placesInLog numbers the values of each key in the order of the log.
func placesInLog(log map[uint64]*pb.LogEntry) map[string]int {
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

// client sends a read or write to a host, mostly to one that leads.
func (w *world) client() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	for _, candidate := range w.hosts {
		if candidate.core != nil && candidate.core.IsLeader() && w.random.IntN(3) > 0 {
			h = candidate
		}
	}
	w.nextOp++
	op := &operation{Key: string(rune('k' + w.random.IntN(3))), read: w.random.IntN(2) == 0}
	if op.read {
		w.read(h, op)
	} else {
		w.write(h, op)
	}
}

func (w *world) read(h *host, op *operation) {
	id := w.nextOp
	w.history.begin(op, w.order)
	w.run(h, func(now time.Time) {
		if h.core.Read(now, id) == nil {
			h.reads[id] = op
		}
	})
}

func (w *world) endRead(h *host, r ReadResult) {
	op, ok := h.reads[r.ID]
	delete(h.reads, r.ID)
	if ok && r.OK {
		op.Value = h.values[op.Key]
		w.history.end(op, w.order)
	}
}

func (w *world) write(h *host, op *operation) {
	op.Value = strconv.FormatUint(w.nextOp, 10)
	data, _ := json.Marshal(op)
	w.run(h, func(now time.Time) {
		index, term, err := h.core.Propose(now, data)
		if err != nil {
			return
		}
		w.history.begin(op, w.order)
		h.writes[index] = pendingWrite{term: term, op: op}
	})
}

// dropWaiting forgets writes of a leadership that is over: their outcome
// stays unknown.
func (w *world) dropWaiting(h *host) {
	if !h.core.IsLeader() {
		clear(h.writes)
	}
}
