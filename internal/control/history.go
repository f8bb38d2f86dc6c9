package control

import "github.com/hyssopsail/hyssopsail/internal/pb"

// history keeps older versions of subtrees, bounded for each subtree and in
// all: the globally oldest go first.
type history struct {
	all    []*pb.SubtreeDocument // in the order of their replacement
	counts map[string]int
	bytes  int
}

func newHistory() *history {
	return &history{counts: make(map[string]int)}
}

func (h *history) add(d *pb.SubtreeDocument) {
	h.all = append(h.all, d)
	h.counts[d.Name]++
	h.bytes += len(d.Yaml)
	if h.counts[d.Name] > historyVersions {
		h.dropFirst(func(o *pb.SubtreeDocument) bool { return o.Name == d.Name })
	}
	for h.bytes > historyBytes {
		h.dropFirst(func(*pb.SubtreeDocument) bool { return true })
	}
}

func (h *history) dropFirst(match func(*pb.SubtreeDocument) bool) {
	for n, d := range h.all {
		if !match(d) {
			continue
		}
		h.all = append(h.all[:n:n], h.all[n+1:]...)
		h.bytes -= len(d.Yaml)
		h.counts[d.Name]--
		if h.counts[d.Name] == 0 {
			delete(h.counts, d.Name)
		}
		return
	}
}

func (h *history) of(name string) []*pb.SubtreeDocument {
	var found []*pb.SubtreeDocument
	for _, d := range h.all {
		if d.Name == name {
			found = append(found, d)
		}
	}
	return found
}

func (h *history) version(name string, version uint64) *pb.SubtreeDocument {
	for _, d := range h.all {
		if d.Name == name && d.Version == version {
			return d
		}
	}
	return nil
}
