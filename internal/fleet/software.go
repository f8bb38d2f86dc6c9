package fleet

// RequiredSoftware is the software version that an endpoint must run to go on from what another
// one wrote. What two versions write, output and KV caches, does not fit together, and endpoints
// don't check it. The zero value requires none.
type RequiredSoftware struct {
	version string
	set     bool
}

// RequireSoftware returns a requirement of a version.
func RequireSoftware(version string) RequiredSoftware {
	return RequiredSoftware{version: version, set: true}
}

// IsSet reports whether a version is required.
func (s RequiredSoftware) IsSet() bool { return s.set }

// Version returns the required version; empty if none is required.
func (s RequiredSoftware) Version() string { return s.version }

// Allows reports whether an endpoint of a version may be used.
func (s RequiredSoftware) Allows(version string) bool { return !s.set || version == s.version }
