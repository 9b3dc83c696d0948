// Package profile tells how long a batching model engine takes. The figures are
// those of an engine of ordinary speed; a slowness scales them for one that is
// faster (below 1) or slower (above 1).
package profile

import "time"

// Figures of an engine of ordinary speed. What engines of another make do
// otherwise, a scheduler learns.
const (
	// Step is a decoding step of an idle batch, in milliseconds, and
	// StepPerRun what each running request adds.
	Step       = 3.27
	StepPerRun = 0.0823
	// PromptPerMs is the number of prompt tokens read in a millisecond.
	PromptPerMs = 125.0
	// Chunk is the number of prompt tokens read between two steps.
	Chunk = 2048
	// Quadratic is the time in milliseconds by which a prompt of a thousand
	// tokens is slower to read than its length tells; it grows with the square.
	Quadratic = 0.13
	// Fixed is the time to a first event that is no engine's work: it is the
	// same on fast and slow engines. It includes 2 ms of network.
	Fixed = 64 * time.Millisecond
)

// StepTime returns the milliseconds of a decoding step with the number of
// running requests.
func StepTime(running int) float64 { return Step + StepPerRun*float64(running) }

// Prefill returns the milliseconds in which a prompt is read, with the decoding
// steps of what runs beside it between its chunks.
func Prefill(prompt, running int) float64 {
	thousands := float64(prompt) / 1000
	steps := float64(prompt) / Chunk * StepTime(running)
	return float64(prompt)/PromptPerMs + Quadratic*thousands*thousands + steps
}

// Gap returns the milliseconds between two events of the given number of tokens
// while so many prompt tokens wait to be read: each step reads one chunk. Reading
// is by how much the engine is slower at it than at decoding.
func Gap(eventTokens, running, backlog int, reading float64) float64 {
	read := min(backlog, eventTokens*Chunk)
	return float64(eventTokens)*StepTime(running) + reading*float64(read)/PromptPerMs
}

// Decode returns the milliseconds in which the tokens are generated.
func Decode(tokens, running int) float64 { return float64(tokens) * StepTime(running) }
