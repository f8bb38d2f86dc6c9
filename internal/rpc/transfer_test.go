package rpc

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const idleLimit = 100 * time.Millisecond

// A call with a peer that sends a few bytes at a time isn't ended, however long it takes.
func TestSlowTransferIsNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, transfer := WithTransfer(context.Background(), idleLimit)
		for range 100 {
			time.Sleep(idleLimit * 9 / 10)
			TransferFromContext(ctx).RecordReceived(1)
		}
		assert.NilError(t, ctx.Err())
		assert.NilError(t, transfer.End(ctx, nil))
		assert.Equal(t, transfer.ReceivedBytes(), int64(100))
		TransferFromContext(context.Background()).RecordReceived(5) // a context without a Transfer
	})
}

func TestTransferWithoutProgressIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, transfer := WithTransfer(context.Background(), idleLimit)
		time.Sleep(idleLimit / 2)
		transfer.RecordReceived(1)
		<-ctx.Done()
		assert.Equal(t, transfer.Elapsed(), idleLimit*3/2)
		assert.ErrorIs(t, transfer.End(ctx, ctx.Err()), ErrNoProgress)
	})
}

func TestTransferReturnsOtherErrors(t *testing.T) {
	ctx, transfer := WithTransfer(context.Background(), idleLimit)
	other := errors.New("refused")
	assert.Equal(t, transfer.End(ctx, other), other)
}

// When a large call is sent over a slow link, each write counts as progress.
func TestTransferIsNotEndedWhileALargeCallIsSent(t *testing.T) {
	const pieces = 20
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		ctx, transfer := WithTransfer(context.Background(), idleLimit)
		conn := &countedConn{Conn: near}
		conn.transfer.Store(transfer)
		go func() {
			buffer := make([]byte, maxWriteBytes)
			for range pieces {
				time.Sleep(idleLimit * 9 / 10)
				_, err := io.ReadFull(far, buffer)
				assert.Check(t, err)
			}
		}()
		sent, err := conn.Write(make([]byte, pieces*maxWriteBytes))
		assert.NilError(t, err)
		assert.Equal(t, sent, pieces*maxWriteBytes)
		assert.NilError(t, ctx.Err())
		assert.NilError(t, transfer.End(ctx, nil))
	})
}
