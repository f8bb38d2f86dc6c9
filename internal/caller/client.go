package caller

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/responsehead"
)

// Client sends requests to the entries of one fleet with one team's key. It is safe for
// concurrent use.
type Client struct {
	seeds  []string // host:port of entries to ask for addresses if no cached entry answers
	key    string
	scheme string
	http   *http.Client

	mu          sync.Mutex
	cached      []callerapi.Address
	cacheExpiry time.Time
}

// maxReplyBytes limits the size of an answer, streamed or not.
const maxReplyBytes = 16 << 20

// New returns a client that learns the fleet's entries from seeds (host:port) and uses a
// team's key. tlsConfig is nil for plain HTTP; all entries of a fleet must use the same
// scheme.
func New(seeds []string, key string, tlsConfig *tls.Config) *Client {
	c := &Client{seeds: seeds, key: key, scheme: "http://"}
	transport := http.DefaultTransport
	if tlsConfig != nil {
		c.scheme = "https://"
		transport = &http.Transport{TLSClientConfig: tlsConfig}
	}
	c.http = &http.Client{Transport: responsehead.Transport{Base: transport}}
	return c
}

// Addresses returns the entries to use, best first. When the cached answer has expired, it
// asks the entries of that answer and then the seeds.
func (c *Client) Addresses(ctx context.Context) ([]callerapi.Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.cacheExpiry) {
		return c.cached, nil
	}
	var lastErr error
	for _, address := range c.candidates() {
		sentAt := time.Now()
		reply, err := c.fetchAddresses(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		c.cached = reply.Addresses
		c.cacheExpiry = sentAt.Add(time.Duration(reply.KeepMs) * time.Millisecond)
		return c.cached, nil
	}
	return nil, trace.ConnectionProblem(lastErr, "no entry returned an address list: %v", lastErr)
}

// candidates returns the entries to ask for addresses, in order.
func (c *Client) candidates() []string {
	candidates := make([]string, 0, len(c.cached)+len(c.seeds))
	for _, a := range c.cached {
		candidates = append(candidates, a.Address)
	}
	return append(candidates, c.seeds...)
}

func (c *Client) fetchAddresses(ctx context.Context, address string) (callerapi.AddressesReply, error) {
	request, err := c.newRequest(ctx, http.MethodGet, address, "/v1/addresses", nil)
	if err != nil {
		return callerapi.AddressesReply{}, trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return callerapi.AddressesReply{}, trace.ConnectionProblem(err, "entry %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return callerapi.AddressesReply{}, trace.Wrap(readRefusal(response))
	}
	var reply callerapi.AddressesReply
	err = json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply)
	return reply, trace.Wrap(err)
}

// Do sends a request to the best entry. body may be nil. The caller must close the
// response's body. Do doesn't retry: only the caller knows whether its request may run
// twice.
func (c *Client) Do(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(addresses) == 0 {
		return nil, trace.NotFound("no entry may serve this team now")
	}
	request, err := c.newRequest(ctx, method, addresses[0].Address, path, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "entry %s", addresses[0].Address)
	}
	return response, nil
}

func (c *Client) newRequest(ctx context.Context, method, address, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+address+path, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set(callerapi.HeaderAuthorization, "Bearer "+c.key)
	return request, nil
}
