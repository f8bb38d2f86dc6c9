package strictyaml

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one thing wrong with a file.
type Fault struct {
	File    string
	Line    int    // from 1; 0 when the file is empty
	Path    string // such as "links[2].rate"; empty for the whole document
	Problem string
	Want    string // what would be right
}

// String gives "file:line: path: problem; want".
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

// Faults are all faults found in one file, by line.
type Faults []Fault

// Error gives one line for each fault.
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
