package forecast_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/dispatch/forecast"
)

var now = time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)

func TestNewRouteFallsBackToAction(t *testing.T) {
	f := forecast.New()
	route := forecast.NewRoute("evening", "critique")
	require.Equal(t, forecast.DefaultTokens, f.Quantile(route, 0.5))
	for range 20 {
		f.Observe(now, forecast.NewRoute("morning", "critique"), 400)
	}
	require.InDelta(t, 400, f.Quantile(route, 0.5), 40)
	for range 20 {
		f.Observe(now, route, 100)
	}
	require.InDelta(t, 100, f.Quantile(route, 0.5), 10)
}

// Of ten answers, nine are short and one is long. A mean would predict a long
// answer for all of them.
func TestQuantilesOfMixedLengths(t *testing.T) {
	f := forecast.New()
	route := forecast.NewRoute("w", "mixed")
	for i := range 100 {
		length := 8
		if i%10 == 0 {
			length = 800
		}
		f.Observe(now, route, length)
	}
	require.InDelta(t, 8, f.Quantile(route, 0.5), 2)
	require.InDelta(t, 800, f.Quantile(route, 0.95), 80)
	require.InDelta(t, 770, f.Remaining(route, 30), 100, "an answer with more than 30 tokens is a long one")
}

func TestOldLengthsAgeOut(t *testing.T) {
	f := forecast.New()
	route := forecast.NewRoute("w", "a")
	for range 1000 {
		f.Observe(now, route, 1000)
	}
	for range 600 {
		f.Observe(now, route, 10)
	}
	require.InDelta(t, 10, f.Quantile(route, 0.5), 2)
}

func TestRoutesAreBounded(t *testing.T) {
	f := forecast.New()
	for i := range 5000 {
		f.Observe(now.Add(time.Duration(i)*time.Second), forecast.NewRoute(fmt.Sprint(i), "a"), 1)
	}
	require.LessOrEqual(t, f.Len(), 2048)
}
