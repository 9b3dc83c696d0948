package ingress

import "time"

const (
	// LingerAfterStop is how long callers may still send after a stop began.
	LingerAfterStop time.Duration = lingerAfterStop
	// UnreadBodyTimeout is how long a body may take that the handler does not read.
	UnreadBodyTimeout time.Duration = unreadBodyTimeout
	// DrainHeaderTimeout is how long a request's header may take in a stop.
	DrainHeaderTimeout time.Duration = drainHeaderTimeout
	// HeaderTimeout is how long a request's header may take.
	HeaderTimeout time.Duration = headerTimeout
)
