package local

// SetDraw sets the source of random numbers below n.
func (c *Chooser) SetDraw(draw func(n int) int) { c.draw = draw }

// NoEngines and OnlyEngines report whether a service has engines.
func NoEngines(string) bool   { return false }
func OnlyEngines(string) bool { return true }
