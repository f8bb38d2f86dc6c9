// Package memoryplan divides the memory and the descriptors of an instance among what its process
// holds for others: connections of clients, reads from endpoints and from other processes. The sum of
// all parts, with the process's own and the garbage collector's, stays below the instance's memory.
package memoryplan
