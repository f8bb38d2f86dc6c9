package route_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// peerHello states the address of the peer's engine.
type peerHello struct{ Engine string }

// peerResult is what the callers measured. Delays are from the engine's write of a token
// to the caller's reading of it, in microseconds.
type peerResult struct {
	Streams, Failed, Tokens int
	Cause                   string
	Seconds                 float64
	RoutedP50, RoutedP99    float64
	DirectP50, DirectP99    float64
}

// directShare: one in so many streams goes to the engine directly.
const directShare = 20

func runPeer() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { panic(http.Serve(listener, relayEngine(newBatches()))) }()
	out := json.NewEncoder(os.Stdout)
	_ = out.Encode(peerHello{Engine: listener.Addr().String()})
	target, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil {
		return // the benchmark has failed
	}
	_ = out.Encode(callAll(strings.TrimSpace(target), listener.Addr().String()))
}

// batch wakes all its streams at the same time, like one step of an engine.
type batch struct {
	mu   sync.Mutex
	next chan struct{}
}

// batchSize is the number of streams that one engine decodes at a time.
const batchSize = 20

// batches are engines whose steps are spread evenly over time.
type batches struct {
	all   []*batch
	taken atomic.Uint64
}

func newBatches() *batches {
	count := max(*relayStreams/batchSize, 1)
	b := &batches{all: make([]*batch, count)}
	for n := range b.all {
		b.all[n] = &batch{next: make(chan struct{})}
	}
	go b.run()
	return b
}

func (b *batches) run() {
	n := 0
	for range time.Tick(*relayStep / time.Duration(len(b.all))) {
		b.all[n%len(b.all)].step()
		n++
	}
}

func (b *batches) one() *batch { return b.all[b.taken.Add(1)%uint64(len(b.all))] }

func (b *batch) step() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.next)
	b.next = make(chan struct{})
}

func (b *batch) wait() {
	b.mu.Lock()
	next := b.next
	b.mu.Unlock()
	<-next
}

func relayEngine(b *batches) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/prefill", func(w http.ResponseWriter, r *http.Request) {
		var in engineapi.PrefillRequest
		_ = json.NewDecoder(r.Body).Decode(&in)
		_ = json.NewEncoder(w).Encode(engineapi.PrefillReply{
			Attempt: in.Attempt, Incarnation: relayIncarnation, Handle: "h", PromptTokens: 5, WorkMs: 1, ExpiresMs: 800,
		})
	})
	mux.HandleFunc("/v1/kv/import", func(w http.ResponseWriter, r *http.Request) {
		var in engineapi.ImportRequest
		_ = json.NewDecoder(r.Body).Decode(&in)
		_ = json.NewEncoder(w).Encode(engineapi.ImportReply{Attempt: in.Attempt, Incarnation: relayIncarnation})
	})
	mux.HandleFunc("/v1/decode", func(w http.ResponseWriter, r *http.Request) { decodeSteps(b.one(), w, r) })
	return mux
}

// decodeSteps streams tokens whose text is the time when they were written.
func decodeSteps(s *batch, w http.ResponseWriter, r *http.Request) {
	var in engineapi.DecodeRequest
	_ = json.NewDecoder(r.Body).Decode(&in)
	w.Header().Set("Content-Type", engineapi.EventStreamMediaType)
	control := http.NewResponseController(w)
	_ = control.Flush()
	c := engineapi.Chunk{Attempt: in.Attempt, Incarnation: relayIncarnation, Tokens: 1}
	for c.Offset < in.MaxTokens {
		s.wait()
		if c.Offset == in.MaxTokens-1 {
			c.Finish = engineapi.FinishLength
		}
		c.Text = strconv.FormatInt(time.Now().UnixNano(), 36) + " "
		encoded, _ := json.Marshal(c)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", encoded); err != nil {
			return
		}
		_ = control.Flush()
		c.Offset++
	}
}

// callAll runs all streams concurrently, each relayRounds times in a row.
func callAll(entryAddress, engineAddress string) peerResult {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048}}
	var mu sync.Mutex
	var result peerResult
	var routed, direct []float64
	var streams sync.WaitGroup
	began := time.Now()
	for n := range *relayStreams {
		streams.Go(func() {
			for range *relayRounds {
				straight := n%directShare == 0
				delays, err := callOne(client, entryAddress, engineAddress, straight)
				mu.Lock()
				result.Streams++
				if err != nil {
					result.Failed++
					result.Cause = err.Error()
				}
				if straight {
					direct = append(direct, delays...)
				} else {
					routed = append(routed, delays...)
				}
				mu.Unlock()
			}
		})
	}
	streams.Wait()
	result.Seconds = time.Since(began).Seconds()
	result.Tokens = len(routed)
	result.RoutedP50, result.RoutedP99 = percentile(routed, 0.5), percentile(routed, 0.99)
	result.DirectP50, result.DirectP99 = percentile(direct, 0.5), percentile(direct, 0.99)
	return result
}

func percentile(of []float64, p float64) float64 {
	slices.Sort(of)
	if len(of) == 0 {
		return 0
	}
	return of[int(p*float64(len(of)-1))]
}

func callOne(client *http.Client, entryAddress, engineAddress string, straight bool) ([]float64, error) {
	url, body := "http://"+entryAddress+"/v1/completions", fmt.Sprintf(`{"model":"fibre","prompt":"Assess.","max_tokens":%d,"stream":true}`, *relayTokens)
	if straight {
		url, body = "http://"+engineAddress+"/v1/decode", fmt.Sprintf(`{"attempt_id":"a","max_tokens":%d}`, *relayTokens)
	}
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+teamKey)
	if *relayKeyed {
		request.Header.Set("Idempotency-Key", strconv.FormatUint(rand.Uint64(), 36))
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return readDelays(response.Body)
}

// readDelays reads one stream to its end and returns the delays of its tokens.
func readDelays(body io.Reader) ([]float64, error) {
	var delays []float64
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) && len(delays) == *relayTokens {
			return delays, nil
		}
		if err != nil {
			return delays, fmt.Errorf("after %d tokens: %w", len(delays), err)
		}
		now := time.Now().UnixNano()
		_, text, ok := bytes.Cut(line, []byte(`"text":"`))
		if !ok {
			continue
		}
		stamp, _, _ := bytes.Cut(text, []byte(" "))
		written, err := strconv.ParseInt(string(stamp), 36, 64)
		if err != nil {
			return delays, err
		}
		delays = append(delays, float64(now-written)/1000)
	}
}
