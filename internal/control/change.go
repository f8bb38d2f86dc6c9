package control

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// applyChange answers a change of one subtree.
//
// Failure guarded: a leader dies between the commit and the answer, and the
// operator resends. Without the answers table the resent change would be
// applied twice or, worse, be told "conflict" although it had won. The table
// is replicated, so each later leader gives the first result.
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
	now := m.documents[c.Name]
	version := now.GetVersion()
	if c.ExpectedVersion != version {
		return conflict(now)
	}
	if detail := m.checkSizeLimits(c, now); detail != "" {
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
	m.replaceDocument(now, accepted)
	m.delta.Subtrees = append(m.delta.Subtrees, accepted)
	m.updateClasses(c.Name)
	return &pb.ChangeResult{Status: pb.ChangeStatus_CHANGE_STATUS_ACCEPTED, Version: accepted.Version, Index: index}
}

func (m *Machine) checkSizeLimits(c *pb.ChangeSubtree, now *pb.SubtreeDocument) string {
	if len(c.Yaml) > maxYAMLBytes {
		return "the subtree is too large"
	}
	if m.treeBytes-len(now.GetYaml())+len(c.Yaml) > maxTreeBytes {
		return "all settings together would be too large"
	}
	if now == nil && len(m.documents) >= maxSubtrees {
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

func (m *Machine) document(name string, version uint64) *pb.SubtreeDocument {
	now := m.documents[name]
	if version == 0 || now.GetVersion() == version {
		return now
	}
	return m.history.version(name, version)
}

func conflict(now *pb.SubtreeDocument) *pb.ChangeResult {
	return &pb.ChangeResult{
		Status:  pb.ChangeStatus_CHANGE_STATUS_CONFLICT,
		Version: now.GetVersion(),
		Current: now,
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

// changeDigest covers what a change asks for; the time of the proposal
// differs between sends of one change and is left out.
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

// sameInstance compares all fields.
func sameInstance(a, b *pb.InstanceRecord) bool { return proto.Equal(a, b) }
