package coordinator

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/streamorigin"
)

var _ streamorigin.SoftwareHistory = (*Coordinator)(nil)

// softwareReadInterval is how often the catalog is read for the versions of endpoints; it is part
// of registrationDelay.
const softwareReadInterval = time.Second

// MayHaveRunOther implements streamorigin.SoftwareHistory. An endpoint that is in the catalog with
// another version by now may have run it before it was registered.
func (c *Coordinator) MayHaveRunOther(endpoint streamorigin.EndpointSum, software string, at time.Time) bool {
	c.updateSoftware()
	return c.software.mayHaveRunOther(endpoint, software, at)
}

// ReusesID implements streamorigin.SoftwareHistory. Endpoints that may start again under their ID
// tell when their process started.
func (c *Coordinator) ReusesID(endpoint streamorigin.EndpointSum) bool {
	return c.software.reusesID(endpoint)
}

// SoleSoftware implements streamorigin.SoftwareHistory.
func (c *Coordinator) SoleSoftware(ctx context.Context, service string, within time.Duration) (software string, sole bool, err error) {
	index, err := c.readIndex(ctx)
	if err != nil {
		return "", false, err
	}
	if err := c.options.Machine.AwaitApplied(ctx, index); err != nil {
		return "", false, trace.Wrap(ErrUnavailable, "%v", err)
	}
	c.updateSoftware()
	software, sole = c.software.sole(service, time.Now().Add(-within))
	return software, sole, nil
}

// InContact implements streamorigin.SoftwareHistory.
func (c *Coordinator) InContact() bool { return c.current(time.Now()) }

// updateSoftware is called often: the later a change is read, the later it seems to have been.
func (c *Coordinator) updateSoftware() {
	c.software.mu.Lock()
	defer c.software.mu.Unlock()
	c.software.update(c.options.Machine, time.Now())
}
