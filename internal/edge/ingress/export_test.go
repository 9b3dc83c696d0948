package ingress

import "time"

const (
	// ShutdownLinger is how long callers may still send after a shutdown began.
	ShutdownLinger time.Duration = shutdownLinger
	// UnreadBodyTimeout limits a body that the handler does not read.
	UnreadBodyTimeout time.Duration = unreadBodyTimeout
	// DrainHeaderTimeout is how long a request's header may take in a drain.
	DrainHeaderTimeout time.Duration = drainHeaderTimeout
	// HeaderTimeout is how long a request's header may take.
	HeaderTimeout time.Duration = defaultHeaderTimeout
)
