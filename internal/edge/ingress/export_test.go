package ingress

import "time"

// LingerAfterStop is how long callers may still send after a stop began.
const LingerAfterStop time.Duration = lingerAfterStop
