package replica

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// groupSeparator separates the fleet ID from the digest of the initial
// membership in a group's name.
const groupSeparator = "#"

// groupName returns the name of a new group. The digest distinguishes groups
// with the same fleet ID but different initial members, which otherwise would
// accept each other's messages although their first entries differ.
func groupName(fleetID string, members []*pb.Member) (string, error) {
	if fleetID == "" || strings.Contains(fleetID, groupSeparator) {
		return "", trace.BadParameter("fleet ID %q is empty or contains %q", fleetID, groupSeparator)
	}
	var lines []string
	for _, m := range members {
		lines = append(lines, fmt.Sprintf("%q %q %q %t", m.DiskId, m.InstanceId, m.RpcAddress, m.Learner))
	}
	slices.Sort(lines)
	return fmt.Sprintf("%s%s%016x", fleetID, groupSeparator, xxhash.Sum64String(strings.Join(lines, "\n"))), nil
}

func fleetIDOf(group string) string {
	fleet, _, _ := strings.Cut(group, groupSeparator)
	return fleet
}
