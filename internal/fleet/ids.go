package fleet

// AvailabilityZone identifies a failure domain, such as "howrah".
type AvailabilityZone string

// InstanceID identifies a daemon across restarts.
type InstanceID string

// Incarnation identifies one process start of an instance or endpoint. It rises
// at each start; a message with an earlier incarnation is stale.
type Incarnation uint64

// EndpointID identifies a model engine or plain service process across restarts.
type EndpointID string

// Team identifies a customer, the owner of a settings subtree.
type Team string

// AttemptID identifies one attempt to run a request: 128 random bits as hex,
// unique to the attempt.
type AttemptID string

// RequestID identifies a caller's request in logs and the time line.
type RequestID string
