// Package relay takes exchanges, opaque to the router, from their arrival to
// their answer: it finds the route, chooses endpoints, sends, sends again where
// the route's kind allows, and passes answers on as they are. What a request
// or an answer means is known only by its traits (Exchange, Reply).
//
// One goroutine drives each exchange. The decisions are in package dispatch
// and in the pure functions of retry.go and events.go.
package relay
