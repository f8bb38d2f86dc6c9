// Package explain reports what happened to one request, from the log lines of many
// processes: the decisions, the figures they were based on and their age, the
// outcome, and what else was logged about the endpoints involved. Apart from
// reading its input it has no side effects.
//
// Times of different processes are not compared, since clocks may have been
// stepped. Lines of one process are in the order in which they were written, and
// a request's decisions carry the time since its arrival.
package explain
