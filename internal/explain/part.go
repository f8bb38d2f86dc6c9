package explain

import "strings"

// Part is what the logs say about the requests whose prompts have a part.
type Part struct {
	Name          string `json:"name"`
	Answered      int    `json:"answered"`       // requests
	Lost          int    `json:"lost"`           // runs whose connection to the endpoint was lost
	LostEndpoints int    `json:"lost_endpoints"` // endpoints of these runs
	Notes         []Note `json:"notes"`          // lines on the part itself
}

// describeParts returns what all lines say about the parts of the prompt that a request's own
// lines name, in their order.
func describeParts(lines, own []Line) []Part {
	var parts []Part
	for _, name := range partsOf(own) {
		parts = append(parts, describePart(lines, name))
	}
	return parts
}

// partsOf returns the parts that the first line with any of them names.
func partsOf(lines []Line) []string {
	for _, l := range lines {
		if list := l.Get(keyParts); list != "" {
			return strings.Split(list, ",")
		}
	}
	return nil
}

func describePart(lines []Line, name string) Part {
	p := Part{Name: name}
	endpoints := map[string]bool{}
	for _, l := range lines {
		if l.Get(keyCrashingPart) == name && l.Get(keyRequest) == "" {
			p.Notes, _ = addNote(p.Notes, l)
		}
		if !hasPart(l, name) {
			continue
		}
		switch {
		case l.Message == MessageAnswered && l.Get("outcome") == OutcomeServed:
			p.Answered++
		case l.Message == lost:
			p.Lost++
			endpoints[l.Get(keyEndpoint)] = true
		}
	}
	p.LostEndpoints = len(endpoints)
	return p
}

func hasPart(l Line, name string) bool {
	list := l.Get(keyParts)
	return list != "" && strings.Contains(","+list+",", ","+name+",")
}
