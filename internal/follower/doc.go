// Package follower keeps an entry's picture of its fleet: the configuration in
// force and the endpoints. It asks two control instances at a time, so that a
// silent connection or a member that was cut off holds up no change, and turns
// from members that are not in touch with a leader. The picture only moves
// forward: an older document or record never replaces a newer one.
//
// Locks: Follower.mu is a leaf.
package follower
