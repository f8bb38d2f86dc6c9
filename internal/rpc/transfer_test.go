package rpc

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTransferCountsWhatArrives(t *testing.T) {
	ctx, transfer := WithTransfer(context.Background())
	TransferOf(ctx).Arrived(3)
	TransferOf(ctx).Arrived(4)
	assert.Equal(t, transfer.Received(), int64(7))
	TransferOf(context.Background()).Arrived(5) // nobody watches
}
