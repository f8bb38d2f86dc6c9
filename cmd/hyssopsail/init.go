package main

import (
	"net/netip"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// initCommand creates a new fleet.
type initCommand struct {
	app     *app
	fleetID string
	members []string
}

func addInit(a *app, parser *kingpin.Application) {
	c := &initCommand{app: a}
	command := parser.Command("init", "Make a new fleet of running control instances with empty disks. Done once: a disk that belongs to a fleet refuses it.")
	command.Flag("fleet-id", "Name of the new fleet.").Required().StringVar(&c.fleetID)
	command.Flag("member", "A control instance with its rpc address; three or five of them.").
		Required().PlaceHolder("ID=IP:PORT").StringsVar(&c.members)
	command.Action(a.commandAction(c.run))
}

func (c *initCommand) run() error {
	request := &pb.InitRequest{FleetId: c.fleetID}
	for _, text := range c.members {
		member, err := parseMember(text)
		if err != nil {
			return withExitCode(exitUsage, err)
		}
		request.Members = append(request.Members, member)
	}
	client, err := c.app.connection.bootstrapClient()
	if err != nil {
		return trace.Wrap(err)
	}
	reply, err := client.Init(c.app.ctx, request)
	if err != nil {
		return trace.Wrap(err)
	}
	t := &table{header: []string{"FLEET", "MEMBERS"}}
	t.add(reply.GetFleetId(), strings.Join(c.members, " "))
	return c.app.show(reply, t)
}

// parseMember parses "ID=IP:PORT".
func parseMember(text string) (*pb.Member, error) {
	id, address, ok := strings.Cut(text, "=")
	if _, err := netip.ParseAddrPort(address); !ok || id == "" || err != nil {
		return nil, trace.BadParameter("member %q is not ID=IP:PORT", text)
	}
	return &pb.Member{InstanceId: id, RpcAddress: address}, nil
}
