// Package sizing measures what the parts of the system cost as they grow, and
// works out from the measured slopes what they need at a target size.
//
// # Usage
//
//	slopes, err := sizing.Measure(progress)
//	rows := sizing.Plan(sizing.Target, slopes)
//	text := sizing.Markdown(rows)
//
// The slopes that docs/CAPACITY.md rests on are kept in docs/slopes.json; a test
// recomputes the page's table from them.
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

// Slope is a quantity measured at several sizes, with the straight line that
// fits it best.
type Slope struct {
	Name   string  `json:"name"`
	XUnit  string  `json:"of"`   // what X counts
	Unit   string  `json:"unit"` // of Y
	Points []Point `json:"points"`
	// PerUnit and Base are the line's slope and its value at 0.
	PerUnit   float64 `json:"perUnit"`
	Intercept float64 `json:"base"`
	// MaxRelativeError is the largest distance of a point from the line, relative to the
	// point.
	MaxRelativeError float64 `json:"spread"`
}

// At returns the line's value at a size, which is never negative.
func (s Slope) At(x float64) float64 { return math.Max(s.Intercept+s.PerUnit*x, 0) }

// fit completes a slope by the method of least squares. The points are weighted
// by their inverse, so that each size counts alike.
func (s Slope) fit() Slope {
	var w, wx, wy, wxx, wxy float64
	for _, p := range s.Points {
		k := 1 / math.Max(p.Y*p.Y, 1e-12)
		w += k
		wx += k * p.X
		wy += k * p.Y
		wxx += k * p.X * p.X
		wxy += k * p.X * p.Y
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

// Slopes are all measured slopes by name.
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
