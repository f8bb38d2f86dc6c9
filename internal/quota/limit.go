package quota

// Limit is a team's quota in the whole fleet, in the unit that its requests are
// counted in.
type Limit struct {
	Version   int64 // of the configuration that gave it
	PerSecond float64
	Burst     float64 // saved up at most
}
