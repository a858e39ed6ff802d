// Package sizing measures how the resource usage of the system's parts grows with
// the size of a deployment, and extrapolates it to a target size.
//
// # Usage
//
//	slopes := sizing.Measure(progress)
//	rows := sizing.Plan(sizing.Target, slopes)
//	text := sizing.Markdown(rows, slopes)
//
// The tables in docs/CAPACITY.md are computed from docs/slopes.json. A test checks
// that they match.
package sizing

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a quantity measured at several sizes and the line fitted to it.
type Slope struct {
	Name   string  `json:"name"`
	XUnit  string  `json:"of"`   // what X counts
	Unit   string  `json:"unit"` // of Y
	Points []Point `json:"points"`
	// PerUnit and Intercept are the line's slope and its value at 0.
	PerUnit   float64 `json:"perUnit"`
	Intercept float64 `json:"base"`
	// MaxRelativeError is the largest distance of a point from the line, relative
	// to the point.
	MaxRelativeError float64 `json:"spread"`
}

// At returns the line's value at a size, or 0 if it is negative.
func (s Slope) At(x float64) float64 { return math.Max(s.Intercept+s.PerUnit*x, 0) }

// fit fits the line by weighted least squares. The weight of a point is 1/Y², so
// that the relative errors at all sizes count equally.
func (s Slope) fit() Slope {
	var w, wx, wy, wxx, wxy float64
	for _, p := range s.Points {
		weight := 1 / math.Max(p.Y*p.Y, 1e-12)
		w += weight
		wx += weight * p.X
		wy += weight * p.Y
		wxx += weight * p.X * p.X
		wxy += weight * p.X * p.Y
	}
	if d := w*wxx - wx*wx; d != 0 {
		s.PerUnit = (w*wxy - wx*wy) / d
	}
	s.Intercept = (wy - s.PerUnit*wx) / w
	s.MaxRelativeError = 0
	for _, p := range s.Points {
		s.MaxRelativeError = math.Max(s.MaxRelativeError, math.Abs(s.At(p.X)-p.Y)/math.Max(p.Y, 1e-12))
	}
	return s
}

// Slopes holds the measured slopes by name.
type Slopes map[string]Slope

// Load reads slopes from a file.
func Load(path string) (Slopes, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read slopes: %w", err)
	}
	var s Slopes
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode slopes: %w", err)
	}
	return s, nil
}

// Save writes slopes to a file.
func (s Slopes) Save(path string) error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("encode slopes: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	return nil
}
