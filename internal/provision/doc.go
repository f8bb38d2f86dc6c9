// Package provision loads models where there is demand and moves engines between
// prefill and decode. Entries count the demand for each model (Meter). One entry
// of each region polls the counts and the endpoints and plans changes (Planner).
// Its orders go through package orders, after the endpoint's home has stopped
// granting it work (Gate).
package provision
