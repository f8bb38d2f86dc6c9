package dispatch

import (
	"strconv"
	"strings"
)

// ReportedLoad is the load that an endpoint reported with an answer, in requests.
type ReportedLoad struct {
	Running, Waiting, Slots int
}

// loadFields is how many fields of a reported load are used. Those that follow tell how busy
// the endpoint's machine is at the moment, which is over before the next request is sent.
const loadFields = 3

// ParseReportedLoad returns a load from its fields as they are reported, separated by commas; nil
// if there are too few, or if one can't be read.
func ParseReportedLoad(text string) *ReportedLoad {
	parts := strings.Split(text, ",")
	if len(parts) < loadFields {
		return nil
	}
	var n [loadFields]int
	for i := range n {
		value, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || value < 0 {
			return nil
		}
		n[i] = value
	}
	return &ReportedLoad{Running: n[0], Waiting: n[1], Slots: n[2]}
}

// perSlot returns the requests running and waiting, per slot.
func (l ReportedLoad) perSlot() float64 {
	return float64(l.Running+l.Waiting) / float64(max(1, l.Slots))
}
