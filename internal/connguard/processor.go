package connguard

// Processor bounds what connections take of the processor that use much of it. Others never wait for
// it.
type Processor struct {
	turnstile *Turnstile // of what they send
	pacer     *Pacer     // of their requests
}

// NewProcessor returns a Processor with a share of the time for what such connections send,
// DefaultProcessorShare for 0.
func NewProcessor(share float64) *Processor {
	return &Processor{turnstile: NewTurnstile(share), pacer: NewPacer()}
}
