package memory

const (
	// connectionBytes is what a connection of a caller holds in the process while its request is
	// served, besides what is reserved for it: stacks of goroutines, buffers of reading and of
	// sending on, and a header of usual size.
	connectionBytes = 32 << 10
	// connectionShare is the fraction of the process's memory limit that connections may use, and
	// minConnections the least bound.
	connectionShare = 0.25
	minConnections  = 64
	// reservedDescriptors are for files, pipes and listeners. callerDescriptorShare is the fraction
	// of the others that callers' connections may use: each of their requests may need one to an
	// upstream, beside those to peers and the store. defaultDescriptors applies if the limit is
	// unknown.
	reservedDescriptors   = 200
	callerDescriptorShare = 0.5
	defaultDescriptors    = 4096
	// linkDescriptorShare is the fraction of the others for connections to the port for gateways on
	// which no message was received, and minLinkConnections the least bound.
	linkDescriptorShare = 0.125
	minLinkConnections  = 64
	// crowdedShare is the fraction of the bound from which on connections that wait for a request
	// are closed in favor of new ones.
	crowdedShare = 0.875
)

// ConnectionLimit returns how many connections callers may have open to a process with the limits
// of memory and of descriptors, of which either is 0 if it is unknown.
func ConnectionLimit(processBytes int64, descriptors int) int {
	if processBytes <= 0 {
		processBytes = defaultProcessBytes
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	byMemory := int(float64(processBytes) * connectionShare / connectionBytes)
	byDescriptors := int(float64(descriptors-reservedDescriptors) * callerDescriptorShare)
	return max(minConnections, min(byMemory, byDescriptors))
}

// LinkConnectionLimit returns how many connections to the port for gateways may be open on which no
// message was received, in a process with the limit of descriptors, which is 0 if it is unknown.
func LinkConnectionLimit(descriptors int) int {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return max(minLinkConnections, int(float64(descriptors-reservedDescriptors)*linkDescriptorShare))
}

// SetConnectionLimit changes how many connections may be open; 0 bounds none.
func (a *Account) SetConnectionLimit(limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connectionLimit = limit
}

// TakeConnection counts a new connection of a caller, and reports whether there was room for it
// and whether connections that wait should give way to others. A nil account bounds nothing.
func (a *Account) TakeConnection() (taken, crowded bool) {
	if a == nil {
		return true, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connectionLimit > 0 && a.connections >= a.connectionLimit {
		a.connectionsRefused++
		return false, true
	}
	a.connections++
	return true, a.connectionLimit > 0 && float64(a.connections) > crowdedShare*float64(a.connectionLimit)
}

// ReturnConnection ends a connection that was taken.
func (a *Account) ReturnConnection() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connections--
}
