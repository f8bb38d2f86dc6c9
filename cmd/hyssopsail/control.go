package main

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// controlCommand changes the members of the control group.
type controlCommand struct {
	app    *app
	member string
	disk   string
}

func addControl(a *app, parser *kingpin.Application) {
	c := &controlCommand{app: a}
	group := parser.Command("control", "Change the control group, one member at a time.")
	add := group.Command("add", "Add a running control instance with an empty disk. It votes once it has caught up.")
	add.Arg("member", "The instance with its rpc address, ID=IP:PORT.").Required().StringVar(&c.member)
	add.Action(a.commandAction(c.add))
	remove := group.Command("remove", "Remove a member, such as one whose disk is lost. Remove the old disk before you add the new one.")
	remove.Arg("instance", "Instance ID.").Required().StringVar(&c.member)
	remove.Flag("disk", "Disk ID, when an instance is listed with two.").StringVar(&c.disk)
	remove.Action(a.commandAction(c.remove))
}

func (c *controlCommand) add() error {
	member, err := parseMember(c.member)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	return c.change(&pb.ChangeMemberRequest{Member: member})
}

func (c *controlCommand) remove() error {
	return c.change(&pb.ChangeMemberRequest{Remove: true, Member: &pb.Member{InstanceId: c.member, DiskId: c.disk}})
}

func (c *controlCommand) change(request *pb.ChangeMemberRequest) error {
	client, err := c.app.connection.client()
	if err != nil {
		return trace.Wrap(err)
	}
	reply, err := client.ChangeMember(c.app.ctx, request)
	if err != nil {
		return trace.Wrap(err)
	}
	t := &table{header: []string{"MEMBER", "RPC", "DISK", "VOTES"}}
	for _, m := range reply.GetMembership().GetMembers() {
		t.add(m.GetInstanceId(), m.GetRpcAddress(), m.GetDiskId(), !m.GetLearner())
	}
	return c.app.show(reply, t)
}
