package relay

import "sync"

// AddressSet knows the addresses of the endpoints in an entry's view. It is safe for
// concurrent use.
type AddressSet struct {
	view func() *View

	mu        sync.Mutex // guards the fields below
	latest    *View      // the view that addresses is of
	addresses map[string]bool
}

// NewAddressSet returns the set for the latest view.
func NewAddressSet(view func() *View) *AddressSet { return &AddressSet{view: view} }

// Contains reports whether an endpoint of the latest view has the address.
func (s *AddressSet) Contains(address string) bool {
	view := s.view()
	if view == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if view != s.latest {
		s.latest, s.addresses = view, addressesOf(view)
	}
	return s.addresses[address]
}

func addressesOf(view *View) map[string]bool {
	addresses := map[string]bool{}
	for _, endpoints := range view.Endpoints {
		for _, e := range endpoints {
			addresses[e.Address] = true
		}
	}
	return addresses
}
