package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// orderCommand sends an order to an endpoint and waits for its end.
type orderCommand struct {
	app         *app
	endpoint    string
	modelOrRole string // which of them depends on the order kind
	id          string
	wait        time.Duration
}

func addOrder(a *app, parser *kingpin.Application) {
	order := parser.Command("order", "Give an endpoint an order. It is emptied first when it loses a model or its role; an operator may take the last endpoint of a model.")
	c := &orderCommand{app: a}
	order.Flag("order-id", "Repeat this order, or ask how it is going; at the same instance.").StringVar(&c.id)
	order.Flag("wait", "Longest wait for its end.").Default("15m").DurationVar(&c.wait)
	c.add(order, "load", "Load a model from the weight store.", engineapi.OrderLoad)
	c.add(order, "unload", "Drop a model.", engineapi.OrderUnload)
	c.add(order, "role", "Change the role: prefill, decode or both.", engineapi.OrderChangeRole)
}

func (c *orderCommand) add(order *kingpin.CmdClause, name, help string, kind engineapi.OrderKind) {
	command := order.Command(name, help)
	command.Arg("endpoint", "Endpoint ID.").Required().StringVar(&c.endpoint)
	if kind == engineapi.OrderChangeRole {
		command.Arg("role", "New role.").Required().StringVar(&c.modelOrRole)
	} else {
		command.Arg("model", "model@version or model@version/adapter.").Required().StringVar(&c.modelOrRole)
	}
	command.Action(c.app.commandAction(func() error { return c.run(kind) }))
}

func (c *orderCommand) run(kind engineapi.OrderKind) error {
	// Only the instance that took the order knows its progress, so all calls
	// go to one address.
	connection := c.app.connection
	if len(connection.addresses) > 1 {
		connection.addresses = connection.addresses[:1]
	}
	client, err := connection.client()
	if err != nil {
		return trace.Wrap(err)
	}
	request := &pb.OrderEndpointRequest{OrderId: c.id, EndpointId: c.endpoint, Kind: string(kind)}
	if request.OrderId == "" {
		request.OrderId = uuid.NewString()
	}
	if kind == engineapi.OrderChangeRole {
		request.Role = c.modelOrRole
	} else {
		request.Model = c.modelOrRole
	}
	deadline := c.app.now().Add(c.wait)
	for {
		reply, err := client.Order(c.app.ctx, request)
		if err != nil {
			return trace.Wrap(err, "order %s", request.OrderId)
		}
		if reply.GetEnded() || !c.app.now().Before(deadline) {
			return c.show(request, reply)
		}
	}
}

func (c *orderCommand) show(request *pb.OrderEndpointRequest, reply *pb.OrderEndpointReply) error {
	t := &table{header: []string{"ORDER", "ENDPOINT", "OUTCOME"}}
	t.add(request.GetOrderId(), request.GetEndpointId(), outcomeOf(reply))
	if err := c.app.show(reply, t); err != nil {
		return err
	}
	if reply.GetEnded() && reply.GetOutcome() != "done" {
		return withExitCode(exitFailed, trace.BadParameter("the order ended as %s", reply.GetOutcome()))
	}
	return nil
}

func outcomeOf(reply *pb.OrderEndpointReply) string {
	if !reply.GetEnded() {
		return "under way"
	}
	return reply.GetOutcome()
}
