// Package placement decides where a team's data may go. Each send to an
// endpoint, replica or peer is checked last, right before its bytes leave.
package placement
