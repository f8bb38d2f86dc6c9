// Package endpoint implements both sides of endpoint homes. Home keeps an
// endpoint's lease, grants its slots exactly, cancels orphaned holds and tracks
// its cache events. HomeClient follows a bounded number of homes by polling
// digests of their endpoints, and requests grants from them.
package endpoint
