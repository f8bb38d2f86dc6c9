package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Names and figures of the site's plain service.
const (
	plainName     = "wuno96b"
	slipRoute     = "/puxa403/" // pickup-slip, may run once
	logRoute      = "/kesi118/" // dropoff-log, may be repeated
	plainPatience = 3 * time.Second
)

// plainConfig returns the configuration of the small site's plain service.
func plainConfig(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": plainName, "max_attempts": attempts, "session_affinity": false, "resumable": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("r-slip", slipRoute, "non_idempotent", 1), route("r-log", logRoute, "idempotent", 2)},
		"services": []any{map[string]any{
			"name": plainName, "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// requestPlain sends one client attempt over a new channel and returns its status; 0 for no answer.
func requestPlain(entry, method, path, id string, patience time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }() // read whole
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
