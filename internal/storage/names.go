package storage

import (
	"fmt"
	"slices"
	"strings"
)

const (
	lockName        = "LOCK"
	identityName    = "identity"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// parseNumbers returns the numbers in the names with prefix, ascending.
func parseNumbers(names []string, prefix string) []uint64 {
	var found []uint64
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		if !ok || len(digits) != 16 {
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(digits, "%016x", &number); err == nil {
			found = append(found, number)
		}
	}
	slices.Sort(found)
	return found
}
