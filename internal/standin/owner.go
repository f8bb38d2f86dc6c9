package standin

import (
	"strconv"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// parseOwner parses the String form of fleet.Owner. For other text it returns an
// owner that is in no view.
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
