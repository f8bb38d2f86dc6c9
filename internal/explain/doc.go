// Package explain tells the story of one request from the logs of many
// processes: what was decided, by which figures and how old they were, what
// came of it, and what else is known of the endpoints that it met. It is pure
// but for reading.
//
// Times of different processes are not compared: clocks may have been stepped.
// Within a process lines stand in the order in which they were written, and a
// request's decisions carry their time since its arrival.
package explain
