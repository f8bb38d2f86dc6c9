package storage

import (
	"errors"
	"fmt"
)

// ErrFailed means that an earlier write or sync failed, so that the content of
// the files is unknown, or that the Store is closed. The Store accepts no more
// writes. Compare with errors.Is.
var ErrFailed = errors.New("storage failed earlier")

// ErrCorrupt means that synced content is damaged or missing. The instance must
// not start from it; its disk counts as lost.
type ErrCorrupt struct {
	File   string
	Offset int64 // bytes from the start of File
	Reason string
}

// Error implements error.
func (e *ErrCorrupt) Error() string {
	return fmt.Sprintf("corrupt file %s at byte %d: %s", e.File, e.Offset, e.Reason)
}
