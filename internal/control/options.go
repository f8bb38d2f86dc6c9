package control

import (
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// CheckFunc checks a subtree's new document against the tree and returns the
// tree with it; see settings.CheckChange. Empty yaml removes the subtree. It
// must be deterministic and must not modify tree.
type CheckFunc func(tree *settings.Tree, name string, yaml []byte) (*settings.Tree, error)

// BuildFunc builds a tree from accepted documents; see settings.Build.
type BuildFunc func(documents []*pb.SubtreeDocument, index uint64) (*settings.Tree, error)

// MachineOptions configures a Machine. Check and Build are required.
type MachineOptions struct {
	Check CheckFunc
	Build BuildFunc
}
