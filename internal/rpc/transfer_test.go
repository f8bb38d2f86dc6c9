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

const silence = 100 * time.Millisecond

// A peer that sends a little now and then is waited for, however long the whole
// takes.
func TestTransferIsNotEndedForItsLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, transfer := WithTransfer(context.Background(), silence)
		for range 100 {
			time.Sleep(silence * 9 / 10)
			TransferOf(ctx).Arrived(1)
		}
		assert.NilError(t, ctx.Err())
		assert.NilError(t, transfer.End(ctx, nil))
		assert.Equal(t, transfer.Received(), int64(100))
		TransferOf(context.Background()).Arrived(5) // nobody watches
	})
}

func TestTransferIsEndedForSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, transfer := WithTransfer(context.Background(), silence)
		time.Sleep(silence / 2)
		transfer.Arrived(1)
		<-ctx.Done()
		assert.Equal(t, transfer.Took(), silence*3/2)
		assert.ErrorIs(t, transfer.End(ctx, ctx.Err()), ErrSilent)
	})
}

func TestTransferPassesOnOtherErrors(t *testing.T) {
	ctx, transfer := WithTransfer(context.Background(), silence)
	other := errors.New("refused")
	assert.Equal(t, transfer.End(ctx, other), other)
}

// A large call goes out over a slow link: each piece that the link takes counts.
func TestTransferIsNotEndedWhileALargeCallIsSent(t *testing.T) {
	const pieces = 20
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		ctx, transfer := WithTransfer(context.Background(), silence)
		conn := &countedConn{Conn: near}
		conn.transfer.Store(transfer)
		go func() {
			buffer := make([]byte, writePiece)
			for range pieces {
				time.Sleep(silence * 9 / 10)
				_, err := io.ReadFull(far, buffer)
				assert.Check(t, err)
			}
		}()
		sent, err := conn.Write(make([]byte, pieces*writePiece))
		assert.NilError(t, err)
		assert.Equal(t, sent, pieces*writePiece)
		assert.NilError(t, ctx.Err())
		assert.NilError(t, transfer.End(ctx, nil))
	})
}
