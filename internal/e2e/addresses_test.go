package e2e_test

import (
	"testing"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// addressBook does as callers do: it asks any entry which to use and keeps
// that answer for as long as it may.
type addressBook struct {
	fleet *testFleet
	kept  []*instance
	until time.Time
}

func newAddressBook(f *testFleet) *addressBook { return &addressBook{fleet: f} }

// pick gives the n-th of the entries to use.
func (b *addressBook) pick(t *testing.T, n int) *instance {
	if time.Now().After(b.until) {
		b.refresh(t)
	}
	return b.kept[n%len(b.kept)]
}

func (b *addressBook) refresh(t *testing.T) {
	for attempt := 0; ; attempt++ {
		asked := time.Now()
		reply, err := addressesFrom(t, b.fleet.instances[attempt%len(b.fleet.instances)])
		if err != nil || len(reply.Addresses) == 0 {
			<-time.After(pollEvery)
			continue
		}
		b.kept = nil
		for _, a := range reply.Addresses {
			b.kept = append(b.kept, b.fleet.byCallers(a.Address))
		}
		b.until = asked.Add(time.Duration(reply.KeepMs) * time.Millisecond)
		return
	}
}

func (f *testFleet) byCallers(address string) *instance {
	for _, i := range f.instances {
		if i.at(callersPort) == address {
			return i
		}
	}
	return nil
}

func addressesFrom(t *testing.T, i *instance) (callerapi.AddressesReply, error) {
	var reply callerapi.AddressesReply
	_, err := get(callContext(t), i, "/v1/addresses", request{}, &reply)
	return reply, err
}
