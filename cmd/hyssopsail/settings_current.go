package main

import (
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// currentSubtree reads a subtree and returns the client to change it with. That
// client uses the fleet's secret when the fleet has no operators yet.
func (a *app) currentSubtree(name string) (*operator.Client, *pb.SubtreeDocument, error) {
	client, err := a.connection.client()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	document, err := a.readSubtree(client, name)
	if !isUnauthorised(err) || a.connection.secretFile == "" {
		return client, document, trace.Wrap(err)
	}
	if name != settings.FleetSubtree {
		document, err = a.awaitOperators(client, name)
		return client, document, trace.Wrap(err)
	}
	bootstrap, err := a.connection.bootstrapClient()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	document, err = a.readSubtree(bootstrap, name)
	return bootstrap, document, trace.Wrap(err)
}

// The wait for the first fleet subtree to be applied at the instance asked.
const (
	maxOperatorsWait      = 10 * time.Second
	operatorsPollInterval = 50 * time.Millisecond
)

// awaitOperators reads a subtree again until the operator's key is accepted:
// right after the first fleet subtree was committed, the instance asked may not
// have applied it yet.
func (a *app) awaitOperators(client *operator.Client, name string) (*pb.SubtreeDocument, error) {
	deadline := time.NewTimer(maxOperatorsWait)
	defer deadline.Stop()
	poll := time.NewTicker(operatorsPollInterval)
	defer poll.Stop()
	for {
		document, err := a.readSubtree(client, name)
		if !isUnauthorised(err) {
			return document, trace.Wrap(err)
		}
		select {
		case <-poll.C:
		case <-deadline.C:
			return nil, trace.Wrap(err)
		case <-a.ctx.Done():
			return nil, trace.Wrap(a.ctx.Err())
		}
	}
}

func isUnauthorised(err error) bool {
	var refused *operator.ReplyError
	return errors.As(err, &refused) && refused.Status == http.StatusUnauthorized
}

// readSubtree returns nil for a subtree that doesn't exist.
func (a *app) readSubtree(client *operator.Client, name string) (*pb.SubtreeDocument, error) {
	reply, err := client.GetSettings(a.ctx, &pb.GetSettingsRequest{Name: name})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, document := range reply.GetDocuments() {
		if document.GetName() == name {
			return document, nil
		}
	}
	return nil, nil
}
