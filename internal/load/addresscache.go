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
	maxAddressBodyBytes = 1 << 20
	addressTimeout      = 2 * time.Second
	minKeepDuration     = 100 * time.Millisecond
)

// addressCache holds the entry addresses that one caller process uses. It queries
// an entry for them, caches the reply for as long as the reply allows, and moves on
// to the next address when one fails.
type addressCache struct {
	client       *http.Client
	entries      []string // host:port, also queried for addresses
	queryEntries bool

	mu        sync.Mutex // held during a query, so that a caller sends one at a time
	byKey     map[string]*cachedAddresses
	nextEntry int
}

// cachedAddresses holds the addresses of one team.
type cachedAddresses struct {
	addresses []string
	expires   time.Time
	current   int
}

func newAddressCache(client *http.Client, e *Experiment, caller int) *addressCache {
	return &addressCache{
		client:       client,
		entries:      e.Entries,
		queryEntries: e.AskAddresses,
		byKey:        map[string]*cachedAddresses{},
		nextEntry:    caller,
	}
}

// address returns the address to send to, querying for it if none is cached.
func (c *addressCache) address(ctx context.Context, key string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.byKey[key]
	if !ok || !time.Now().Before(cached.expires) {
		fresh, err := c.fetch(ctx, key)
		if err != nil && !ok {
			return "", trace.Wrap(err)
		}
		if err == nil {
			cached = fresh
			c.byKey[key] = fresh
		}
	}
	return cached.addresses[cached.current%len(cached.addresses)], nil
}

// markFailed selects the next address if the failed one is still the current one.
func (c *addressCache) markFailed(key, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.byKey[key]
	if ok && cached.addresses[cached.current%len(cached.addresses)] == address {
		cached.current++
	}
}

func (c *addressCache) fetch(ctx context.Context, key string) (*cachedAddresses, error) {
	if len(c.entries) == 0 {
		return nil, trace.BadParameter("no entries are given")
	}
	if !c.queryEntries {
		return &cachedAddresses{addresses: c.entries, expires: time.Now().Add(time.Hour), current: c.nextEntry}, nil
	}
	var last error
	for range c.entries {
		cached, err := c.queryEntry(ctx, c.entries[c.nextEntry%len(c.entries)], key)
		if err == nil {
			return cached, nil
		}
		last = err
		c.nextEntry++
	}
	return nil, trace.Wrap(last)
}

func (c *addressCache) queryEntry(ctx context.Context, entry, key string) (*cachedAddresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/addresses", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set(callerapi.HeaderAuthorization, "Bearer "+key)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "%s answers %s", entry, response.Status)
	}
	return decodeAddresses(io.LimitReader(response.Body, maxAddressBodyBytes))
}

func decodeAddresses(body io.Reader) (*cachedAddresses, error) {
	var reply callerapi.AddressesReply
	if err := json.NewDecoder(body).Decode(&reply); err != nil {
		return nil, trace.BadParameter("addresses: %v", err)
	}
	cached := &cachedAddresses{expires: time.Now().Add(max(minKeepDuration, time.Duration(reply.KeepMs)*time.Millisecond))}
	for _, a := range reply.Addresses {
		cached.addresses = append(cached.addresses, a.Address)
	}
	if len(cached.addresses) == 0 || slices.Contains(cached.addresses, "") {
		return nil, trace.BadParameter("addresses: none")
	}
	return cached, nil
}
