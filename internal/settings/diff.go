package settings

import "github.com/aymanbagabas/go-udiff"

// Diff gives the unified line difference of two versions of a subtree; empty
// when they are equal.
func Diff(name string, before, after []byte) string {
	return udiff.Unified("a/"+name+fileSuffix, "b/"+name+fileSuffix, string(before), string(after))
}
