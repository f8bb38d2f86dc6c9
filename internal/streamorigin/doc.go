// Package streamorigin keeps at which service and software version streams began, so that a
// caller whose answer broke can resume its stream at any entry, and gets the rest from an
// endpoint of the same version.
//
// An entry records a stream with its first event at holdersPerEntry control instances. Whichever
// entry the caller returns to asks all of them.
//
//   - A record is made only once the first event is there, so it never names an endpoint that
//     began no event. A record that is lost, or not there yet, makes a stream unknown, never one
//     of another version.
//   - Control instances hold records in memory and don't exchange them. One that restarts gets
//     the records of all living entries again. While one holder of an entry lives, the entry's
//     streams are known after its death. A Journal keeps them where all processes end at once.
//   - An endpoint that starts again under its ID, with other software, is known by that ID as
//     the old process until it has registered. Streams recorded around that time are in doubt, and
//     only an instance in contact with the leader tells where a stream began.
//   - For a stream without a record, a quorum of the control instances is asked whether all
//     endpoints of the service have run one version for as long as streams live. If not, the
//     version is unknown.
//   - A stream can be resumed for as long as its record lives, the TTL that its entry gives;
//     resuming it extends that. Memory is bounded by the streams of that time and by maxRecords.
//
// Keys are hashes of the caller's team, the host and the request's ID: a caller that names a
// stream of another team finds nothing.
//
// Client.mu and Server.mu are leaf locks.
package streamorigin
