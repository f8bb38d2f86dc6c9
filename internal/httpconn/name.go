package httpconn

import (
	"strings"

	"github.com/gravitational/trace"
)

// maxNameBytes bounds a name that an endpoint chose.
const maxNameBytes = 256

// CheckName rejects a name that can't be used unescaped in a header and in a path.
//
// A faulty endpoint may return arbitrary bytes. A separator or a space in a name would
// turn it into another name, or another path, in the later call that contains it.
func CheckName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return trace.BadParameter("no name, or one of %d bytes", len(name))
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' || strings.IndexByte(`/?#%"\\,`, c) >= 0 {
			return trace.BadParameter("%q is no name", name)
		}
	}
	return nil
}
