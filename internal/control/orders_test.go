package control

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func loadOrder(id, endpoint string) *pb.IssueOrder {
	return &pb.IssueOrder{
		OrderId: id, EndpointId: endpoint, Kind: pb.OrderKind_ORDER_KIND_LOAD, Model: "fibre", Version: "v1",
		IssuerInstance: "e0", IssuerIncarnation: 1,
	}
}

func TestOrdersTable(t *testing.T) {
	edit := func(f func(*pb.IssueOrder)) *pb.IssueOrder {
		o := loadOrder("o1", "x")
		f(o)
		return o
	}
	cases := []struct {
		name    string
		order   *pb.IssueOrder
		refusal string
	}{
		{"load", loadOrder("o1", "x"), ""},
		{"unload", edit(func(o *pb.IssueOrder) { o.Kind = pb.OrderKind_ORDER_KIND_UNLOAD }), ""},
		{"change role", edit(func(o *pb.IssueOrder) { o.Kind = pb.OrderKind_ORDER_KIND_CHANGE_ROLE; o.Role = "decode" }), ""},
		{"unknown role", edit(func(o *pb.IssueOrder) { o.Kind = pb.OrderKind_ORDER_KIND_CHANGE_ROLE; o.Role = "x" }), refusalMalformed},
		{"no kind", edit(func(o *pb.IssueOrder) { o.Kind = 0 }), refusalMalformed},
		{"no model", edit(func(o *pb.IssueOrder) { o.Model = "" }), refusalMalformed},
		{"no endpoint", edit(func(o *pb.IssueOrder) { o.EndpointId = "" }), refusalMalformed},
		{"issuer expired", edit(func(o *pb.IssueOrder) { o.IssuerIncarnation = 7 }), refusalIssuer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := fleetWithEntries(t, 1)
			result := l.order(c.order)
			assert.Equal(t, result.Refusal, c.refusal)
			assert.Equal(t, result.Order != nil, c.refusal == "")
		})
	}
}

func TestOrderTokensRiseAndRepeat(t *testing.T) {
	l := fleetWithEntries(t, 1)
	first := l.order(loadOrder("o1", "x")).Order
	second := l.order(loadOrder("o2", "x")).Order
	assert.Assert(t, second.Token > first.Token)
	assert.Equal(t, second.PreviousToken, first.Token)
	assert.Equal(t, second.PreviousIssuer, "e0")
	l.restoreFromSnapshot()
	assert.Equal(t, l.order(loadOrder("o1", "x")).Order.Token, first.Token)
	assert.Equal(t, l.order(loadOrder("o1", "y")).Refusal, refusalOrderID)
	assert.Equal(t, l.order(loadOrder("o3", "x")).Order.PreviousToken, second.Token)
}

// Loads of 10 GB from a store of 1 GB/s, two at a time, take 20 s each, so they
// must start in pairs. A load that would wait for hours must be refused.
func TestLoadsShareTheWeightStore(t *testing.T) {
	l := fleetWithEntries(t, 1)
	for n, want := range []uint64{0, 0, 20_000, 20_000, 40_000} {
		if n == 4 {
			l.restoreFromSnapshot()
		}
		assert.Equal(t, l.order(loadOrder(fmt.Sprint(n), fmt.Sprint(n))).Order.DelayMs, want)
	}
	l.clockMs += 30_000
	assert.Equal(t, l.order(loadOrder("later", "z")).Order.DelayMs, uint64(10_000))
	refusal := ""
	for n := 10; refusal == ""; n++ {
		refusal = l.order(loadOrder(fmt.Sprint(n), "z")).Refusal
	}
	assert.Equal(t, refusal, refusalFull)
}
