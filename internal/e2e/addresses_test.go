package e2e_test

import (
	"testing"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// addressCache finds entries as callers do: it asks any entry for the addresses to
// use and keeps the answer for the time that the answer allows.
type addressCache struct {
	fleet   *testFleet
	entries []*instance
	expires time.Time
}

func newAddressCache(f *testFleet) *addressCache { return &addressCache{fleet: f} }

// pick returns the n-th of the entries to use, modulo their number.
func (b *addressCache) pick(t *testing.T, n int) *instance {
	if time.Now().After(b.expires) {
		b.refresh(t)
	}
	return b.entries[n%len(b.entries)]
}

func (b *addressCache) refresh(t *testing.T) {
	for attempt := 0; ; attempt++ {
		asked := time.Now()
		reply, err := fetchAddresses(t, b.fleet.instances[attempt%len(b.fleet.instances)])
		if err != nil || len(reply.Addresses) == 0 {
			<-time.After(pollInterval)
			continue
		}
		b.entries = nil
		for _, a := range reply.Addresses {
			b.entries = append(b.entries, b.fleet.instanceByCallersAddress(a.Address))
		}
		b.expires = asked.Add(time.Duration(reply.KeepMs) * time.Millisecond)
		return
	}
}

func (f *testFleet) instanceByCallersAddress(address string) *instance {
	for _, i := range f.instances {
		if i.address(callersPort) == address {
			return i
		}
	}
	return nil
}

func fetchAddresses(t *testing.T, i *instance) (callerapi.AddressesReply, error) {
	var reply callerapi.AddressesReply
	_, err := getJSON(callContext(t), i, "/v1/addresses", request{}, &reply)
	return reply, err
}
