package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// DialFunc opens a direct connection to an endpoint.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Errors of a tunnel.
var (
	// ErrNoSibling means that no sibling opened a connection. Nothing was sent.
	ErrNoSibling = errors.New("no sibling entry connects to the endpoint")
	// errBroken means that the tunnel ended before the endpoint's connection did.
	errBroken = fmt.Errorf("the tunnel broke: %w", io.ErrUnexpectedEOF)
	// errUnavailable means that a sibling opens no connections now.
	errUnavailable = errors.New("the sibling opens no connections now")
	// errNoLink means that a sibling has lost its own link to the endpoint.
	errNoLink = errors.New("the sibling has no link to the endpoint")
)

// EndpointError means that a sibling could not connect to the endpoint. Its cause is that of a
// direct connection that fails.
type EndpointError struct {
	Cause error
}

// Error implements error.
func (e *EndpointError) Error() string { return "a sibling entry can't connect: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EndpointError) Unwrap() error { return e.Cause }

// errorOfStatus returns why a sibling opened no connection; nil if it did.
func errorOfStatus(status pb.TunnelStatus) error {
	switch status {
	case pb.TunnelStatus_TUNNEL_STATUS_CONNECTED:
		return nil
	case pb.TunnelStatus_TUNNEL_STATUS_REFUSED:
		return &EndpointError{Cause: syscall.ECONNREFUSED}
	case pb.TunnelStatus_TUNNEL_STATUS_UNANSWERED:
		return &EndpointError{Cause: syscall.ETIMEDOUT}
	case pb.TunnelStatus_TUNNEL_STATUS_NO_LINK:
		return errNoLink
	}
	return errUnavailable
}
