package provision

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func TestChangeOf(t *testing.T) {
	digest := &pb.EndpointDigest{Id: "e", Role: "decode", Slots: 2}
	for _, row := range []struct {
		name string
		in   *pb.OrderEndpointRequest
		want string // the change, or part of the refusal
	}{
		{"load", &pb.OrderEndpointRequest{OrderId: "1", Kind: "load", Model: "m@v/a"}, "load m@v/a"},
		{"unload", &pb.OrderEndpointRequest{OrderId: "1", Kind: "unload", Model: "m@v"}, "unload m@v"},
		{"role", &pb.OrderEndpointRequest{OrderId: "1", Kind: "change-role", Role: "both"}, "change-role both"},
		{"no ID", &pb.OrderEndpointRequest{Kind: "load", Model: "m@v"}, "order_id is missing"},
		{"long ID", &pb.OrderEndpointRequest{OrderId: strings.Repeat("x", maxOrderID+1), Kind: "load", Model: "m@v"}, "longer than"},
		{"no version", &pb.OrderEndpointRequest{OrderId: "1", Kind: "load", Model: "m"}, "model@version"},
		{"plain role", &pb.OrderEndpointRequest{OrderId: "1", Kind: "change-role", Role: "plain"}, "role must be"},
		{"unknown kind", &pb.OrderEndpointRequest{OrderId: "1", Kind: "paint"}, "kind must be"},
	} {
		t.Run(row.name, func(t *testing.T) {
			c, err := changeOf(row.in, digest)
			if err != nil {
				assert.ErrorContains(t, err, row.want)
				return
			}
			assert.Equal(t, strings.TrimSpace(describe(c.Orders)), row.want)
		})
	}
	_, err := changeOf(&pb.OrderEndpointRequest{OrderId: "1", Kind: "load", Model: "m@v"}, &pb.EndpointDigest{Id: "e", Role: "plain"})
	assert.ErrorContains(t, err, "not an engine")
}

// An operator's reply is lost and the order sent again. It must be recognised as
// the same order, and a different order with its ID must be rejected.
func TestOperatorOrdersAreIdentifiedByID(t *testing.T) {
	j := newOperatorOrders()
	load := func(model string) Change {
		c, err := changeOf(&pb.OrderEndpointRequest{OrderId: "1", Kind: "load", Model: model}, &pb.EndpointDigest{Id: "e", Role: "both"})
		assert.NilError(t, err)
		return c
	}
	first, fresh, err := j.begin("1", load("m@v"))
	assert.Assert(t, err == nil && fresh)
	again, fresh, err := j.begin("1", load("m@v"))
	assert.Assert(t, err == nil && !fresh && again == first)
	_, _, err = j.begin("1", load("n@v"))
	assert.ErrorContains(t, err, "another one")
	for n := len(j.byID); n < maxOperatorOrders; n++ {
		_, fresh, err = j.begin(string(rune(1000+n)), load("m@v"))
		assert.Assert(t, err == nil && fresh)
	}
	_, _, err = j.begin("more", load("m@v"))
	assert.ErrorContains(t, err, "under way")
	close(first.ended)
	_, fresh, err = j.begin("more", load("m@v"))
	assert.Assert(t, err == nil && fresh && len(j.byID) == maxOperatorOrders)
}

// An operator's order and an endpoint's digest are external input: an accepted
// change must be complete and bounded.
func FuzzChangeOf(f *testing.F) {
	f.Add("1", "load", "m@v/a", "", "decode", uint32(2))
	f.Add("1", "change-role", "", "both", "prefill", uint32(0))
	f.Fuzz(func(t *testing.T, id, kind, model, role, has string, slots uint32) {
		digest := &pb.EndpointDigest{Id: "e", Role: has, Slots: slots, Models: []string{model}}
		c, err := changeOf(&pb.OrderEndpointRequest{OrderId: id, Kind: kind, Model: model, Role: role}, digest)
		if err != nil {
			return
		}
		o := c.Orders[0]
		assert.Assert(t, len(id) <= maxOrderID && (o.Model.Model != "") != (o.Role != ""))
		assert.Assert(t, c.Engine.busy() >= 0 && c.Engine.busy() <= 1)
	})
}
