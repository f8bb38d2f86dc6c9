package fleet

// AvailabilityZone names one failure domain, such as "howrah".
type AvailabilityZone string

// InstanceID names a daemon across restarts.
type InstanceID string

// Incarnation numbers the process starts of an instance or endpoint. It rises
// at each start; a message that names an earlier one is stale.
type Incarnation uint64

// EndpointID names a model engine or a plain service process across restarts.
type EndpointID string

// Team names a customer, the owner of a settings subtree.
type Team string

// AttemptID names one try at running a request: 128 random bits as hex. No
// two tries share one.
type AttemptID string

// RequestID names a caller's request in logs and the time line.
type RequestID string
