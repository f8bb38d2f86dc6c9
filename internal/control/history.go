package control

import "github.com/hyssopsail/hyssopsail/internal/pb"

// subtreeHistory keeps older versions of subtrees. The number of versions is
// bounded for each subtree and the bytes for all together; the oldest go first.
type subtreeHistory struct {
	documents     []*pb.SubtreeDocument // in the order in which they were replaced
	versionCounts map[string]int
	yamlBytes     int
}

func newSubtreeHistory() *subtreeHistory {
	return &subtreeHistory{versionCounts: make(map[string]int)}
}

func (h *subtreeHistory) add(d *pb.SubtreeDocument) {
	h.documents = append(h.documents, d)
	h.versionCounts[d.Name]++
	h.yamlBytes += len(d.Yaml)
	if h.versionCounts[d.Name] > maxHistoryVersions {
		h.dropFirst(func(o *pb.SubtreeDocument) bool { return o.Name == d.Name })
	}
	for h.yamlBytes > maxHistoryBytes {
		h.dropFirst(func(*pb.SubtreeDocument) bool { return true })
	}
}

func (h *subtreeHistory) dropFirst(match func(*pb.SubtreeDocument) bool) {
	for n, d := range h.documents {
		if !match(d) {
			continue
		}
		h.documents = append(h.documents[:n:n], h.documents[n+1:]...)
		h.yamlBytes -= len(d.Yaml)
		h.versionCounts[d.Name]--
		if h.versionCounts[d.Name] == 0 {
			delete(h.versionCounts, d.Name)
		}
		return
	}
}

func (h *subtreeHistory) versions(name string) []*pb.SubtreeDocument {
	var found []*pb.SubtreeDocument
	for _, d := range h.documents {
		if d.Name == name {
			found = append(found, d)
		}
	}
	return found
}

func (h *subtreeHistory) version(name string, version uint64) *pb.SubtreeDocument {
	for _, d := range h.documents {
		if d.Name == name && d.Version == version {
			return d
		}
	}
	return nil
}
