// Package capacity measures what the roles cost, on this machine and with
// small stand-ins, and works the cost at the size to design for out of the
// slopes. docs/CAPACITY.md is written from here and never by hand.
package capacity

import (
	"math"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a straight line through measured points.
type Slope struct {
	Name   string  `json:"name"`
	XUnit  string  `json:"x-unit"`
	YUnit  string  `json:"y-unit"`
	Points []Point `json:"points"`
	// Base and Per are the line's value at 0 and its slope.
	Base float64 `json:"base"`
	Per  float64 `json:"per"`
	// Doubt is the largest relative distance of a point from the line.
	Doubt float64 `json:"doubt"`
}

// At returns the line's value.
func (s Slope) At(x float64) float64 { return s.Base + s.Per*x }

// Fit draws the line of least squares, weighted so that relative distances
// count: the points span orders of magnitude.
func Fit(name, xUnit, yUnit string, points []Point) Slope {
	s := Slope{Name: name, XUnit: xUnit, YUnit: yUnit, Points: points}
	var w, wx, wy, wxx, wxy float64
	for _, p := range points {
		weight := 1 / math.Max(p.Y*p.Y, 1e-12)
		w += weight
		wx += weight * p.X
		wy += weight * p.Y
		wxx += weight * p.X * p.X
		wxy += weight * p.X * p.Y
	}
	divisor := w*wxx - wx*wx
	if divisor == 0 {
		return s
	}
	s.Per = (w*wxy - wx*wy) / divisor
	s.Base = (wy - s.Per*wx) / w
	for _, p := range points {
		if p.Y != 0 {
			s.Doubt = math.Max(s.Doubt, math.Abs(s.At(p.X)-p.Y)/math.Abs(p.Y))
		}
	}
	return s
}
