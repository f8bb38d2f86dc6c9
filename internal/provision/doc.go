// Package provision loads models where demand is and moves engines between
// prefill and decode. Entries count what is asked of each model (Meter); one
// entry of each region polls the counts and the endpoints and plans (Planner,
// pure); its orders go through package orders, after the endpoint's home has
// stopped giving it work (Gate).
package provision
