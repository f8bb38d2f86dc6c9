package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const host = "ficu95.example"

// newAttempt returns the id of a new client attempt.
func newAttempt() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// answer is what a client gets.
type answer struct {
	status int    // 0 without a head
	seal   string // Response-Seal
	body   []byte
	err    error // why the answer is incomplete; nil for a complete one
	sentAt time.Time
	endAt  time.Time
}

func (a answer) isWhole() bool { return a.status == http.StatusOK && a.seal != "" && a.err == nil }

// newClient returns a client with kept channels.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}
}

// send sends a request to an entry and reads its answer.
func send(client *http.Client, to *process, method, path, attempt string, deadline time.Duration, header map[string]string) (a answer) {
	a.sentAt = time.Now()
	defer func() { a.endAt = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.ip+":"+strconv.Itoa(callerPort)+path, strings.NewReader(""))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.seal = response.StatusCode, response.Header.Get("Response-Seal")
	a.body, a.err = io.ReadAll(response.Body)
	return a
}
