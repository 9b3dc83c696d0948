// Package profile models the latencies of a batching inference engine. The figures are
// those of an ordinary engine; a slowness scales them for engines that are faster (below
// 1) or slower (above 1).
package profile

import "time"

// Latencies of an ordinary engine. The scheduler learns in operation how engines of other
// hardware differ.
const (
	// BaseStepMs is the duration of a decode step with an empty batch, and StepPerRunMs
	// the time that each running request adds.
	BaseStepMs   = 3.27
	StepPerRunMs = 0.0823
	// PrefillTokensPerMs is the number of prompt tokens prefilled per millisecond.
	PrefillTokensPerMs = 125.0
	// PrefillChunkTokens is the number of prompt tokens prefilled between two decode steps.
	PrefillChunkTokens = 2048
	// PrefillQuadraticMs is the extra prefill time, in milliseconds, of a prompt of a
	// thousand tokens over the time that is linear in its length. It grows with the
	// square of the length.
	PrefillQuadraticMs = 0.13
	// FixedLatency is the part of the first-event latency that is the same on fast and slow
	// engines. It includes 2 ms of network latency.
	FixedLatency = 64 * time.Millisecond
)

// StepMs returns the duration of a decode step in milliseconds.
func StepMs(running int) float64 { return BaseStepMs + StepPerRunMs*float64(running) }

// PrefillMs returns the prefill time of a prompt in milliseconds, including the decode
// steps of running requests between its chunks.
func PrefillMs(promptTokens, running int) float64 {
	thousands := float64(promptTokens) / 1000
	stepsMs := float64(promptTokens) / PrefillChunkTokens * StepMs(running)
	return float64(promptTokens)/PrefillTokensPerMs + PrefillQuadraticMs*thousands*thousands + stepsMs
}

// EventGapMs returns the time in milliseconds between two stream events of eventTokens
// tokens each, while backlogTokens prompt tokens wait for prefill: each step prefills one
// chunk. prefillFactor is by what factor prefill is slower than the decoding speed
// suggests.
func EventGapMs(eventTokens, running, backlogTokens int, prefillFactor float64) float64 {
	prefilled := min(backlogTokens, eventTokens*PrefillChunkTokens)
	return float64(eventTokens)*StepMs(running) + prefillFactor*float64(prefilled)/PrefillTokensPerMs
}

// DecodeMs returns the time in milliseconds to generate the tokens.
func DecodeMs(tokens, running int) float64 { return float64(tokens) * StepMs(running) }

// MinSlowness is the slowness of the fastest engines that are reckoned with.
const MinSlowness = 0.1

// MinStreamTime returns how long an idle engine takes from the send of a prompt to the last
// of its output tokens.
func MinStreamTime(slowness float64, promptTokens, outputTokens int) time.Duration {
	ordinaryMs := PrefillMs(promptTokens, 1) + DecodeMs(outputTokens, 1)
	return FixedLatency + time.Duration(slowness*ordinaryMs*float64(time.Millisecond))
}
