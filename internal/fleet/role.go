package fleet

// EndpointRole is the kind of work that an endpoint takes.
type EndpointRole string

// The endpoint roles.
const (
	RolePrefill EndpointRole = "prefill"
	RoleDecode  EndpointRole = "decode"
	RoleBoth    EndpointRole = "both"
	RolePlain   EndpointRole = "plain"
)

// Takes reports whether an endpoint of role r takes work of kind w, where w is
// RolePrefill, RoleDecode or RolePlain.
func (r EndpointRole) Takes(w EndpointRole) bool {
	return r == w || (r == RoleBoth && w != RolePlain)
}
