package route

import (
	"errors"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/placement"
)

// isOtherProcess reports whether the endpoint has been restarted since it was chosen.
func isOtherProcess(err error) bool { return errors.Is(err, engine.ErrWrongIncarnation) }

// provesNotSent reports whether err proves that no byte was sent to the endpoint.
// Errors of unknown types prove nothing.
func provesNotSent(err error) bool {
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
