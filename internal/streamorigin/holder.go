package streamorigin

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Limits of what is sent to a holder.
const (
	// flushInterval is the minimum time between two calls to a holder. The first stream after a
	// pause is sent at once; an entry with many streams sends them together.
	flushInterval = 250 * time.Millisecond
	// checkInterval is after how long without a call a holder is called while the entry has
	// streams, to find out whether it has restarted.
	checkInterval = 2 * time.Second
	// recordTimeout limits one call.
	recordTimeout = 400 * time.Millisecond
	// maxStreamsPerCall limits the size of a call to 48 KB.
	maxStreamsPerCall = 4096
)

// Why streams are sent, used as label values.
const (
	sentNew   = "new"
	sentAgain = "again" // the holder may lack them
)

// holder is a control instance that holds this entry's streams. It is guarded by Client.mu.
type holder struct {
	epoch    uint64 // of its process; 0 before its first reply
	complete bool   // it has all streams of the entry but those in pending
	pending  []stream
	sending  bool
	calledAt time.Time
}

// Record records a stream with its first event; endpoint is the ID of the endpoint that began
// it. The record is kept for the time ttl.
func (c *Client) Record(key Key, origin Origin, endpoint string, ttl time.Duration) {
	now, sum, members := time.Now(), SumOf(endpoint), c.options.Members()
	c.metrics.recorded.Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.own.put(now, key, origin, sum, ttl) {
		return // unknown to other entries as well
	}
	added := stream{key: key, origin: c.own.records[key].origin, endpoint: sum, ttl: ttl}
	for _, member := range holdersOf(c.options.Entry, members) {
		h := c.holderAt(member)
		if h.complete {
			h.pending = append(h.pending, added)
		}
		c.startSending(member, h)
	}
}

// Sweep removes expired records and calls the holders that are due.
func (c *Client) Sweep(now time.Time) {
	holders := holdersOf(c.options.Entry, c.options.Members())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.sweep(now)
	for member := range c.holders {
		if !slices.Contains(holders, member) {
			delete(c.holders, member)
		}
	}
	if len(c.own.records) == 0 {
		return
	}
	for _, member := range holders {
		if h := c.holderAt(member); !h.complete || now.Sub(h.calledAt) > checkInterval {
			c.startSending(member, h)
		}
	}
}

// holderAt returns the holder at an address. The caller holds c.mu.
func (c *Client) holderAt(member string) *holder {
	h := c.holders[member]
	if h == nil {
		h = &holder{}
		c.holders[member] = h
	}
	return h
}

// startSending starts sending to a holder unless that is under way. The caller holds c.mu.
func (c *Client) startSending(member string, h *holder) {
	if !h.sending {
		h.sending = true
		go c.sendAll(member, h)
	}
}

// sendAll calls a holder until it has all streams, or a call fails.
func (c *Client) sendAll(member string, h *holder) {
	for {
		streams, why := c.take(h)
		epoch, err := c.send(member, streams)
		c.metrics.sent.WithLabelValues(why, resultOf(err)).Add(float64(len(streams)))
		if err != nil {
			c.options.Part.Debug("Streams can't be recorded at a control instance.", "member", member, "streams", len(streams), "err", err)
		}
		if !c.finishCall(h, why, epoch, err) {
			return
		}
		time.Sleep(flushInterval)
		if c.stopIfIdle(h) {
			return
		}
	}
}

// take returns the streams to send next: all, if the holder may lack some, else the new ones.
func (c *Client) take(h *holder) (streams []stream, why string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	streams, h.pending, h.calledAt = h.pending, nil, now
	if h.complete {
		return streams, sentNew
	}
	h.complete = true // unless the call fails
	return c.own.live(now), sentAgain
}

// errRestarted means that a holder restarted between two calls.
var errRestarted = errors.New("the instance has restarted")

// send sends streams to a holder and returns its epoch.
func (c *Client) send(member string, streams []stream) (epoch uint64, err error) {
	for {
		n := min(maxStreamsPerCall, len(streams))
		latest, err := c.sendBatch(member, streams[:n])
		switch {
		case err != nil:
			return 0, err
		case epoch != 0 && latest != epoch:
			return 0, errRestarted
		}
		epoch, streams = latest, streams[n:]
		if len(streams) == 0 {
			return epoch, nil
		}
	}
}

func (c *Client) sendBatch(member string, streams []stream) (epoch uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	conn, err := c.options.Dialer.Conn(ctx, member)
	if err != nil {
		return 0, err
	}
	reply, err := pb.NewDRPCStreamOriginsClient(conn).RecordStreams(ctx, &pb.RecordStreamsRequest{Batches: batchesToWire(streams)})
	return reply.GetEpoch(), err
}

// finishCall records the result of a call and reports whether to go on. After a failure, Sweep
// tries again.
func (c *Client) finishCall(h *holder, why string, epoch uint64, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		h.complete, h.pending, h.sending = false, nil, false
		return false
	}
	if epoch != h.epoch && why == sentNew {
		h.complete, h.pending = false, nil
	}
	h.epoch = epoch
	return true
}

// stopIfIdle reports whether the holder has all streams, and ends the sending then.
func (c *Client) stopIfIdle(h *holder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.complete && len(h.pending) == 0 {
		h.sending = false
		return true
	}
	return false
}

func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
