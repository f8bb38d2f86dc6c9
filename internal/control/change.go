package control

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// applyChange applies a change of one subtree and returns its result.
//
// If a leader fails between commit and answer, the operator repeats the change.
// Without changeResults the repeated change would be applied twice or be
// rejected as a conflict with itself. The table is replicated, so every later
// leader returns the first result.
func (m *Machine) applyChange(index uint64, c *pb.ChangeSubtree) *pb.ChangeResult {
	if !validName(c.GetChangeId()) || !validName(c.GetName()) || len(c.GetAuthor()) > maxNameBytes {
		return invalid(m.version(c.GetName()), "name, change ID or author is empty or too long")
	}
	digest := changeDigest(c)
	if first, ok := m.changeResults.byID[c.ChangeId]; ok {
		return m.repeatedResult(first, digest)
	}
	result := m.evaluateChange(index, c)
	m.changeResults.add(&pb.AnsweredChange{
		ChangeId:  c.ChangeId,
		Name:      c.Name,
		Digest:    digest,
		Status:    result.Status,
		Version:   result.Version,
		Index:     result.Index,
		Detail:    result.Detail,
		AppliedAt: index,
	})
	return result
}

func (m *Machine) evaluateChange(index uint64, c *pb.ChangeSubtree) *pb.ChangeResult {
	current := m.documents[c.Name]
	version := current.GetVersion()
	if c.ExpectedVersion != version {
		return conflict(current)
	}
	if detail := m.checkSizeLimits(c, current); detail != "" {
		return invalid(version, detail)
	}
	tree, err := m.check(m.tree, c.Name, c.Yaml)
	if err != nil {
		return invalid(version, err.Error())
	}
	if m.exceedsClassLimit(tree, c.Name) {
		return invalid(version, "too many different sets of permitted zones")
	}
	if m.exceedsFormerClassLimit(tree, c.Name) {
		return invalid(version, "the permitted zones were changed too often of late; try again when outcome records have aged")
	}
	accepted := &pb.SubtreeDocument{
		Name:           c.Name,
		Version:        version + 1,
		Yaml:           c.Yaml,
		ChangeId:       c.ChangeId,
		Author:         c.Author,
		AcceptedUnixMs: m.clockUnixMs,
	}
	m.tree = tree
	m.replaceDocument(current, accepted)
	m.delta.Subtrees = append(m.delta.Subtrees, accepted)
	m.updateClasses(c.Name)
	return &pb.ChangeResult{Status: pb.ChangeStatus_CHANGE_STATUS_ACCEPTED, Version: accepted.Version, Index: index}
}

func (m *Machine) checkSizeLimits(c *pb.ChangeSubtree, current *pb.SubtreeDocument) string {
	if len(c.Yaml) > maxYAMLBytes {
		return "the subtree is too large"
	}
	if m.treeBytes-len(current.GetYaml())+len(c.Yaml) > maxTreeBytes {
		return "all settings together would be too large"
	}
	if current == nil && len(m.documents) >= maxSubtrees {
		return "too many subtrees"
	}
	return ""
}

func (m *Machine) replaceDocument(old, accepted *pb.SubtreeDocument) {
	if old != nil {
		m.history.add(old)
	}
	m.treeBytes += len(accepted.Yaml) - len(old.GetYaml())
	m.documents[accepted.Name] = accepted
}

func (m *Machine) version(name string) uint64 { return m.documents[name].GetVersion() }

func (m *Machine) repeatedResult(first *pb.AnsweredChange, digest []byte) *pb.ChangeResult {
	if !bytes.Equal(first.Digest, digest) {
		return invalid(m.version(first.Name), "this change ID was used for another change")
	}
	result := &pb.ChangeResult{
		Status:   first.Status,
		Version:  first.Version,
		Index:    first.Index,
		Detail:   first.Detail,
		Repeated: true,
	}
	if first.Status == pb.ChangeStatus_CHANGE_STATUS_CONFLICT {
		result.Current = m.document(first.Name, first.Version)
	}
	return result
}

// document returns a version of a subtree's document, the current one for version 0,
// or nil if there is none.
func (m *Machine) document(name string, version uint64) *pb.SubtreeDocument {
	current := m.documents[name]
	if version == 0 || current.GetVersion() == version {
		return current
	}
	return m.history.version(name, version)
}

func conflict(current *pb.SubtreeDocument) *pb.ChangeResult {
	return &pb.ChangeResult{
		Status:  pb.ChangeStatus_CHANGE_STATUS_CONFLICT,
		Version: current.GetVersion(),
		Current: current,
		Detail:  "the subtree has another version than expected",
	}
}

func invalid(version uint64, detail string) *pb.ChangeResult {
	return &pb.ChangeResult{
		Status:  pb.ChangeStatus_CHANGE_STATUS_INVALID,
		Version: version,
		Detail:  truncateDetail(detail),
	}
}

func truncateDetail(s string) string {
	if len(s) > maxDetailBytes {
		s = s[:maxDetailBytes]
	}
	return strings.ToValidUTF8(s, "")
}

// changeDigest returns a digest of a change's content. It leaves out the time of
// the proposal, which differs between repeats of one change.
func changeDigest(c *pb.ChangeSubtree) []byte {
	h := sha256.New()
	var length [8]byte
	for _, field := range [][]byte{[]byte(c.Name), []byte(c.Author), c.Yaml} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	binary.BigEndian.PutUint64(length[:], c.ExpectedVersion)
	h.Write(length[:])
	return h.Sum(nil)
}

// sameInstance reports whether all fields are equal.
func sameInstance(a, b *pb.InstanceRecord) bool { return proto.Equal(a, b) }
