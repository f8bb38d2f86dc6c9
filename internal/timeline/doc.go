// Package timeline records typed events of a daemon in a bounded ring with
// hybrid logical clocks, so that the tool can merge them over all processes.
// Events hold no body and no key.
package timeline
