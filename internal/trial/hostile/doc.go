// Package hostile runs a gateway's real process against callers that do not keep to the limits:
// headers, bodies and connections without end. The tests check that the process lives within its
// limits of memory and descriptors, and that it answers an ordinary request afterwards. They run
// alone, with -alone, as they take much of a machine.
package hostile
