package allocation_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// waitingRequest asks for the whole memory of an endpoint and waits for it.
func waitingRequest(exchange string) *pb.AllotRequest {
	return &pb.AllotRequest{Exchange: exchange, Service: "s", Entry: "entry", Prompt: 10, Capacity: 10, LengthMs: 3000, PatienceMs: 6000, WaitMs: 400}
}

// resuming returns the request of a caller that has a part of a stream.
func resuming(exchange string, stream uint64) *pb.AllotRequest {
	r := waitingRequest(exchange)
	r.Resumes, r.Fingerprint = true, stream
	return r
}

// served returns the exchanges in the order in which a home with one endpoint serves them, each for
// a moment. They ask in the given order, while the endpoint is busy.
func served(t *testing.T, requests ...*pb.AllotRequest) []string {
	return servedBy(t, allocation.NewServer(&fleet{size: 1}, nil), requests...)
}

func servedBy(t *testing.T, home *allocation.Server, requests ...*pb.AllotRequest) []string {
	_, err := home.Allot(t.Context(), waitingRequest("busy"))
	assert.NilError(t, err)
	var mu sync.Mutex
	var order []string
	var all sync.WaitGroup
	settle := func(exchange string) {
		_, err := home.Settle(t.Context(), &pb.SettleRequest{Service: "s", Endpoint: "e0", Exchange: exchange, Entry: "entry"})
		assert.Check(t, err)
	}
	for n, r := range requests {
		all.Go(func() {
			time.Sleep(time.Duration(n) * time.Millisecond)
			reply, err := home.Allot(t.Context(), r)
			if assert.Check(t, err); reply.Endpoint == "" {
				return
			}
			mu.Lock()
			order = append(order, r.Exchange)
			mu.Unlock()
			time.Sleep(time.Millisecond)
			settle(r.Exchange)
		})
	}
	time.Sleep(time.Duration(len(requests)) * time.Millisecond)
	settle("busy")
	all.Wait()
	return order
}

// Guards against resumed streams that wait behind all requests that came before, and whose callers
// leave meanwhile.
func TestResumedStreamsGoBeforeNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		order := served(t, waitingRequest("new"), waitingRequest("newer"), resuming("resumed", 1))
		assert.Equal(t, order[0], "resumed", "%v", order)
	})
}

// Guards against new requests that starve behind resumed streams.
func TestNewRequestsDontStarveBehindResumedStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := []*pb.AllotRequest{waitingRequest("new")}
		for n := range 20 {
			requests = append(requests, resuming(fmt.Sprint("resumed-", n), uint64(n+1)))
		}
		order := served(t, requests...)
		assert.Equal(t, len(order), len(requests))
		assert.Assert(t, slices.Index(order, "new") <= 1, "%v", order)
	})
}

// Guards against a stream that ends too late since others, which have more time, go before it.
func TestResumedStreamThatMustStartFirstIsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		patient, urgent := resuming("patient", 1), resuming("urgent", 2)
		patient.PatienceMs, urgent.PatienceMs = 9000, 3500
		order := served(t, patient, urgent)
		assert.DeepEqual(t, order, []string{"urgent", "patient"})
	})
}

// Guards against a caller that gets ahead of others by naming one stream again and again, or none that
// is recorded.
func TestOneStreamGetsAheadOnlyAFewTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := allocation.NewServer(&fleet{size: 1}, nil)
		for range 3 { // the places that it may have
			assert.Equal(t, servedBy(t, home, waitingRequest("new"), resuming("same", 7))[0], "same")
		}
		assert.Equal(t, servedBy(t, home, waitingRequest("new"), resuming("same", 7))[0], "new")
		assert.Equal(t, servedBy(t, home, waitingRequest("new"), resuming("unknown", 0))[0], "new")
		time.Sleep(2 * time.Minute)
		assert.Equal(t, servedBy(t, home, waitingRequest("new"), resuming("same", 7))[0], "same")
	})
}

// Guards against callers that find no room for streams whose entry has died, as the home counts their
// broken runs until it misses that entry.
func TestBrokenRunOfAResumedStreamHoldsNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := allocation.NewServer(&fleet{size: 1}, nil)
		ask := func(r *pb.AllotRequest) string {
			reply, err := home.Allot(t.Context(), r)
			assert.NilError(t, err)
			return reply.Endpoint
		}
		broken := waitingRequest("broken")
		broken.Fingerprint = 7
		assert.Equal(t, ask(broken), "e0")
		assert.Equal(t, ask(resuming("another", 8)), "", "its run holds the memory")
		repeated := waitingRequest("repeated")
		repeated.Fingerprint = 7
		assert.Equal(t, ask(repeated), "", "its caller has no part of it")
		began := time.Now()
		assert.Equal(t, ask(resuming("resumed", 7)), "e0")
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, ask(resuming("resumed", 8)), "", "the run that goes on holds it")
	})
}
