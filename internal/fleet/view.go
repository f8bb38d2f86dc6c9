package fleet

// View is the set of live instances at a view number. A published View is
// immutable; a delta creates a new one.
type View struct {
	Number    uint64
	Instances map[InstanceID]Instance
}

// Contains reports whether the process o is a live member of the view.
func (v View) Contains(o Owner) bool {
	i, ok := v.Instances[o.Instance]
	return ok && i.Incarnation == o.Incarnation
}

// Entries returns the instances with the entry role that are not draining and
// whose zone is permitted, in no particular order.
func (v View) Entries(permitted ZoneSet) []Instance {
	entries := make([]Instance, 0, len(v.Instances))
	for _, i := range v.Instances {
		if i.Entry && !i.Draining && permitted.Permits(i.Zone) {
			entries = append(entries, i)
		}
	}
	return entries
}

// CountEntries returns the number of instances with the entry role, including
// draining ones, which still finish requests.
func (v View) CountEntries() int {
	count := 0
	for _, i := range v.Instances {
		if i.Entry {
			count++
		}
	}
	return count
}
