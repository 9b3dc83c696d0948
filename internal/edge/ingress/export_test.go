package ingress

import "time"

const (
	// LingerAfterStop is how long callers may still send after a shutdown began.
	LingerAfterStop time.Duration = lingerAfterStop
	// UnreadBodyTimeout limits a body that the handler does not read.
	UnreadBodyTimeout time.Duration = unreadBodyTimeout
	// DrainHeaderTimeout is how long a request's header may take in a drain.
	DrainHeaderTimeout time.Duration = drainHeaderTimeout
	// HeaderTimeout is how long a request's header may take.
	HeaderTimeout time.Duration = defaultHeaderTimeout
)
