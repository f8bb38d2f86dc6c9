package strictyaml

import (
	"fmt"
	"strconv"
	"strings"
)

// Document records the line of each path in a file, so that checks after decoding
// can report lines too.
type Document struct {
	file   string
	lines  map[string]int
	faults Faults
}

// Has reports whether the file itself sets path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// Fault records a fault at path. The line of a path that isn't in the file is
// that of its nearest parent in the file.
func (d *Document) Fault(path, want, problem string, args ...any) {
	d.add(Fault{
		File:    d.file,
		Line:    d.line(path),
		Path:    path,
		Problem: fmt.Sprintf(problem, args...),
		Want:    want,
	})
}

// maxFaults limits the faults recorded for one file: a file of unknown keys would
// otherwise cause an error many times its own size.
const maxFaults = 100

func (d *Document) add(f Fault) {
	if len(d.faults) < maxFaults {
		d.faults = append(d.faults, f)
	}
}

// Err returns nil, or Faults with the faults recorded so far.
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
		path = parentPath(path)
	}
}

// Key returns the path of a key below path.
func Key(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Index returns the path of item n, counted from 0, of the list at path.
func Index(path string, n int) string {
	return path + "[" + strconv.Itoa(n) + "]"
}

func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}
