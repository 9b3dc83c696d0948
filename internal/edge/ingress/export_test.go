package ingress

import "time"

const (
	// LingerAfterStop is how long callers may still send after a stop began.
	LingerAfterStop time.Duration = lingerAfterStop
	// HeaderTimeout is how long a request's header may take.
	HeaderTimeout time.Duration = headerTimeout
)
