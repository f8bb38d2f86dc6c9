package storage

import (
	"errors"
	"fmt"
)

// ErrFailed says that a write or sync failed earlier, so that what the files
// hold is not known; the Store takes nothing more. Compare with errors.Is.
var ErrFailed = errors.New("storage failed earlier")

// ErrCorrupt says that synced content can't be read back. The instance must
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
