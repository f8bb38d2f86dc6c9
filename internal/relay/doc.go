// Package relay serves exchanges from their arrival to their answer: it finds the route,
// chooses endpoints, sends requests, retries where the route's kind allows it, and
// forwards answers unchanged. Requests and answers are opaque to it: it knows only their
// properties in Exchange and Reply.
//
// One goroutine drives each exchange. The decisions are in package dispatch
// and in the pure functions of retry.go and events.go.
package relay
