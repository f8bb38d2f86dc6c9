package settings

import "github.com/aymanbagabas/go-udiff"

// Diff returns the unified diff of two versions of a subtree; it is empty if
// they are equal.
func Diff(name string, before, after []byte) string {
	return udiff.Unified("a/"+name+fileSuffix, "b/"+name+fileSuffix, string(before), string(after))
}
