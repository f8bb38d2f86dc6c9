package route

import (
	"errors"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/placement"
)

// isOtherProcess tells whether the endpoint was restarted since.
func isOtherProcess(err error) bool { return errors.Is(err, engine.ErrIncarnation) }

// neverSent tells whether err proves that no byte left for the endpoint. An
// error of any other make proves nothing.
func neverSent(err error) bool {
	if err == nil {
		return false
	}
	var e *engine.Error
	if errors.As(err, &e) {
		return !e.Sent
	}
	_, refused := placement.IsRefusal(err)
	return refused
}
