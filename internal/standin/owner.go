package standin

import (
	"strconv"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// parseOwner reads fleet.Owner's String form; a value that isn't one gives an
// owner that no view holds.
func parseOwner(text string) fleet.Owner {
	cut := strings.LastIndexByte(text, '/')
	if cut < 0 {
		return fleet.Owner{Instance: fleet.InstanceID(text)}
	}
	number, err := strconv.ParseUint(text[cut+1:], 10, 64)
	if err != nil {
		return fleet.Owner{Instance: fleet.InstanceID(text)}
	}
	return fleet.Owner{Instance: fleet.InstanceID(text[:cut]), Incarnation: fleet.Incarnation(number)}
}
