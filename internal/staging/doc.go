// Package staging decides which of a service's model endpoints read prompts
// for others and which generate. It is pure: the time and what is known go in,
// at most one change comes out.
package staging
