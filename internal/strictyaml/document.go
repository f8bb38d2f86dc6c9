package strictyaml

import (
	"fmt"
	"strconv"
	"strings"
)

// Document remembers where each path of a file stands, so that checks made
// after decoding can point at the line too.
type Document struct {
	file   string
	lines  map[string]int
	faults Faults
}

// Has tells whether the file itself names path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// Fault notes a fault at path. A path that the file doesn't hold is placed at
// the nearest one above it.
func (d *Document) Fault(path, want, problem string, args ...any) {
	d.add(Fault{
		File:    d.file,
		Line:    d.line(path),
		Path:    path,
		Problem: fmt.Sprintf(problem, args...),
		Want:    want,
	})
}

// maxFaults bounds the faults kept of one file: one made of unknown keys alone
// would otherwise have an error many times its own size.
const maxFaults = 100

func (d *Document) add(f Fault) {
	if len(d.faults) < maxFaults {
		d.faults = append(d.faults, f)
	}
}

// Err gives nil, or Faults with all faults noted so far.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	faults := append(Faults(nil), d.faults...)
	faults.sortByLine()
	return faults
}

func (d *Document) line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		if path == "" {
			return 0
		}
		path = parent(path)
	}
}

// Key gives the path of a key below path.
func Key(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Index gives the path of the n-th item below path, from 0.
func Index(path string, n int) string {
	return path + "[" + strconv.Itoa(n) + "]"
}

func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}
