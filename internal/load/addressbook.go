package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

const (
	maxAddressBody = 1 << 20
	askTimeout     = 2 * time.Second
	keepAtLeast    = 100 * time.Millisecond
)

// addressBook is one caller process's knowledge of entries: it asks the system
// which to use, keeps the answer as long as it may, and turns to the next
// address when one doesn't answer.
type addressBook struct {
	client  *http.Client
	entries []string // where to ask
	ask     bool

	mu      sync.Mutex // held while asking, so that a caller asks once
	byKey   map[string]*knownAddresses
	askNext int
}

// knownAddresses is the answer for one team.
type knownAddresses struct {
	addresses []string
	expires   time.Time
	using     int
}

func newAddressBook(client *http.Client, e *Experiment, caller int) *addressBook {
	return &addressBook{
		client:  client,
		entries: e.Entries,
		ask:     e.AskAddresses,
		byKey:   map[string]*knownAddresses{},
		askNext: caller,
	}
}

// use gives the address to send to.
func (b *addressBook) use(ctx context.Context, key string) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.byKey[key]
	if !ok || !time.Now().Before(known.expires) {
		fresh, err := b.learn(ctx, key)
		if err != nil && !ok {
			return "", trace.Wrap(err)
		}
		if err == nil {
			known = fresh
			b.byKey[key] = fresh
		}
	}
	return known.addresses[known.using%len(known.addresses)], nil
}

// failed turns to another address, unless that has happened already.
func (b *addressBook) failed(key, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.byKey[key]
	if ok && known.addresses[known.using%len(known.addresses)] == address {
		known.using++
	}
}

func (b *addressBook) learn(ctx context.Context, key string) (*knownAddresses, error) {
	if len(b.entries) == 0 {
		return nil, trace.BadParameter("no entries are given")
	}
	if !b.ask {
		return &knownAddresses{addresses: b.entries, expires: time.Now().Add(time.Hour), using: b.askNext}, nil
	}
	var last error
	for range b.entries {
		known, err := b.askEntry(ctx, b.entries[b.askNext%len(b.entries)], key)
		if err == nil {
			return known, nil
		}
		last = err
		b.askNext++
	}
	return nil, trace.Wrap(last)
}

func (b *addressBook) askEntry(ctx context.Context, entry, key string) (*knownAddresses, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/addresses", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set(callerapi.HeaderAuthorise, "Bearer "+key)
	response, err := b.client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "%s answers %s", entry, response.Status)
	}
	return decodeAddresses(io.LimitReader(response.Body, maxAddressBody))
}

func decodeAddresses(body io.Reader) (*knownAddresses, error) {
	var reply callerapi.AddressesReply
	if err := json.NewDecoder(body).Decode(&reply); err != nil {
		return nil, trace.BadParameter("addresses: %v", err)
	}
	known := &knownAddresses{expires: time.Now().Add(max(keepAtLeast, time.Duration(reply.KeepMs)*time.Millisecond))}
	for _, a := range reply.Addresses {
		known.addresses = append(known.addresses, a.Address)
	}
	if len(known.addresses) == 0 || slices.Contains(known.addresses, "") {
		return nil, trace.BadParameter("addresses: none")
	}
	return known, nil
}
