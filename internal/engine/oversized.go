package engine

import (
	"errors"
	"fmt"

	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// oversized returns the error of a part of an answer that is over its bound.
func oversized(part readlimit.Part, bytes, bound int64) error {
	return fmt.Errorf("%w: %w", ErrOversized, &readlimit.Exceeded{Part: part, Bytes: bytes, Bound: bound})
}

// recordExceeded records the bound that a part of an answer has met, if that is the error.
func (c *HTTPClient) recordExceeded(err error) {
	var failure *Error
	var exceeded *readlimit.Exceeded
	if errors.As(err, &failure) && errors.As(err, &exceeded) {
		exceeded.Peer = string(failure.Target.ID)
		c.options.Reads.Record(exceeded)
	}
}
