// Package placement answers where a team's data may go. Each send to an
// endpoint, replica or peer asks it last, right before bytes leave.
package placement
