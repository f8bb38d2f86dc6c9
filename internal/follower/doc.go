// Package follower keeps an entry's view of its fleet: the configuration in force and the
// endpoints. It polls two control instances at a time, so that a silent connection or a
// member that was cut off delays no change, and leaves members that have no contact with
// a leader. The view only moves forward: an older document or record never replaces a
// newer one.
//
// Locks: Follower.mu is a leaf.
package follower
