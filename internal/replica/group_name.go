package replica

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// groupSeparator stands between the fleet ID and the digest of the first
// membership in a group's name.
const groupSeparator = "#"

// groupName names the group that Init begins. The digest keeps apart two
// groups that were begun with one fleet ID but different members, which
// would otherwise take each other's messages with different first entries.
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

func fleetOf(group string) string {
	fleet, _, _ := strings.Cut(group, groupSeparator)
	return fleet
}
