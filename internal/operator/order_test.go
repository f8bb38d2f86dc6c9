package operator

import (
	"context"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Guards against a team's operator unloading a model from an endpoint that other teams
// use. Only operators with the fleet's scope may send orders, and only through an instance
// that can confirm that the operator's key is still valid.
func TestOrderRequiresFleetScope(t *testing.T) {
	tree := &settings.Tree{Fleet: settings.Fleet{Operators: operators}}
	current, received := true, ""
	server := httptest.NewServer(NewHandler(Options{
		Tree:    func() *settings.Tree { return tree },
		Current: func() bool { return current },
		Order: func(_ context.Context, in *pb.OrderEndpointRequest, operatorName string) (*pb.OrderEndpointReply, error) {
			received = operatorName + " " + in.GetKind() + " " + in.GetEndpointId()
			return &pb.OrderEndpointReply{Ended: true, Outcome: "done"}, nil
		},
	}))
	defer server.Close()
	order := func(key string, in *pb.OrderEndpointRequest) error {
		client := NewClient(ClientOptions{Addresses: []string{server.Listener.Addr().String()}, Key: key})
		client.retryTimeout = 0 // one round over the addresses is enough here
		_, err := client.Order(t.Context(), in)
		return err
	}
	unload := &pb.OrderEndpointRequest{OrderId: "1", EndpointId: "e", Kind: "unload", Model: "m@1"}
	assert.ErrorContains(t, order("lead-key", unload), string(CodeForbidden))
	assert.ErrorContains(t, order("no-key", unload), string(CodeUnauthorised))
	assert.ErrorContains(t, order("root-key", &pb.OrderEndpointRequest{}), string(CodeBadRequest))
	current = false
	assert.ErrorContains(t, order("root-key", unload), string(CodeNotCurrent))
	assert.Equal(t, received, "")
	current = true
	assert.NilError(t, order("root-key", unload))
	assert.Equal(t, received, "root unload e")
}
