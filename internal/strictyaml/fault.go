package strictyaml

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one problem in a file.
type Fault struct {
	File    string
	Line    int    // from 1; 0 when the file is empty
	Path    string // such as "links[2].rate"; empty for the whole document
	Problem string
	Want    string // how to correct it; may be empty
}

// String returns "file:line: path: problem; want".
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d: ", f.File, f.Line)
	if f.Path != "" {
		text += f.Path + ": "
	}
	text += f.Problem
	if f.Want != "" {
		text += "; " + f.Want
	}
	return text
}

// Faults are the faults found in one file, sorted by line.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for n, fault := range f {
		lines[n] = fault.String()
	}
	return strings.Join(lines, "\n")
}

func (f Faults) sortByLine() {
	sort.SliceStable(f, func(a, b int) bool { return f[a].Line < f[b].Line })
}
