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
)

// Client asks the entries of one fleet as one team. Safe for concurrent use.
type Client struct {
	seeds  []string // host:port of entries to ask first
	key    string
	scheme string
	http   *http.Client

	mu      sync.Mutex
	kept    []callerapi.Address
	keptEnd time.Time
}

// maxReply bounds an answer that is not a stream, bytes.
const maxReply = 16 << 20

// New makes a client of the entries at seeds (host:port) with a team's key.
// secure is nil for plain HTTP; a fleet's entries all speak the same.
func New(seeds []string, key string, secure *tls.Config) *Client {
	c := &Client{seeds: seeds, key: key, scheme: "http://", http: &http.Client{}}
	if secure != nil {
		c.scheme = "https://"
		c.http.Transport = &http.Transport{TLSClientConfig: secure}
	}
	return c
}

// Addresses gives the entries to use, best first. It asks a seed or an entry
// of the last answer when that may no longer be kept.
func (c *Client) Addresses(ctx context.Context) ([]callerapi.Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.keptEnd) {
		return c.kept, nil
	}
	var last error
	for _, address := range c.candidates() {
		asked := time.Now()
		reply, err := c.ask(ctx, address)
		if err != nil {
			last = err
			continue
		}
		c.kept = reply.Addresses
		c.keptEnd = asked.Add(time.Duration(reply.KeepMs) * time.Millisecond)
		return c.kept, nil
	}
	return nil, trace.ConnectionProblem(last, "no entry told its addresses: %v", last)
}

func (c *Client) candidates() []string {
	candidates := make([]string, 0, len(c.kept)+len(c.seeds))
	for _, a := range c.kept {
		candidates = append(candidates, a.Address)
	}
	return append(candidates, c.seeds...)
}

func (c *Client) ask(ctx context.Context, address string) (callerapi.AddressesReply, error) {
	request, err := c.request(ctx, http.MethodGet, address, "/v1/addresses", nil)
	if err != nil {
		return callerapi.AddressesReply{}, trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return callerapi.AddressesReply{}, trace.ConnectionProblem(err, "entry %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return callerapi.AddressesReply{}, trace.Wrap(refusalOf(response))
	}
	var reply callerapi.AddressesReply
	err = json.NewDecoder(io.LimitReader(response.Body, maxReply)).Decode(&reply)
	return reply, trace.Wrap(err)
}

// Do sends a request to the best entry. body may be nil. The caller closes the
// response's body. It is not repeated here: only the caller knows whether its
// request may run twice.
func (c *Client) Do(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(addresses) == 0 {
		return nil, trace.NotFound("no entry may serve this team now")
	}
	request, err := c.request(ctx, method, addresses[0].Address, path, body)
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

func (c *Client) request(ctx context.Context, method, address, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+address+path, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set(callerapi.HeaderAuthorise, "Bearer "+c.key)
	return request, nil
}
