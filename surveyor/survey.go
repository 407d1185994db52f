// Package surveyor measures what a unit of each kind of state costs an entry, at several sizes, and works
// out from the slopes what each role needs at the size that the system is designed for.
package surveyor

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"

	"gonum.org/v1/gonum/stat"
)

// Survey is the committed outcome of one run; docs/CAPACITY.md is made from it.
type Survey struct {
	Go     string  `json:"go"`
	Cores  int     `json:"cores"`
	Slopes []Slope `json:"slopes"`
}

// Slope is a straight line through what was measured at several sizes.
type Slope struct {
	Name string `json:"name"`
	// Unit is that of Slope and Intercept: bytes, microseconds.
	Unit string `json:"unit"`
	// Per is what the sizes count.
	Per       string    `json:"per"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Slope     float64   `json:"slope"`
	Intercept float64   `json:"intercept"`
	R2        float64   `json:"r2"`
}

// measurement gives one slope: value measures the whole cost at a size.
type measurement struct {
	name, unit, per string
	sizes           []int
	value           func(n int) float64
}

// Run takes all measurements. It takes about a minute on an idle machine.
func Run(progress func(Slope)) Survey {
	survey := Survey{Go: runtime.Version(), Cores: runtime.NumCPU()}
	for _, m := range measurements() {
		slope := m.take()
		progress(slope)
		survey.Slopes = append(survey.Slopes, slope)
	}
	return survey
}

func (m measurement) take() Slope {
	s := Slope{Name: m.name, Unit: m.unit, Per: m.per}
	for _, n := range m.sizes {
		s.Sizes = append(s.Sizes, float64(n))
		s.Values = append(s.Values, round(m.value(n)))
	}
	intercept, slope := stat.LinearRegression(s.Sizes, s.Values, nil, false)
	s.R2 = round(stat.RSquared(s.Sizes, s.Values, nil, intercept, slope))
	s.Intercept = round(intercept)
	s.Slope = round(slope)
	return s
}

// digits is how many significant digits are kept.
const digits = 4

func round(v float64) float64 {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	scale := math.Pow(10, digits-1-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// heap gives the bytes that live after build has run, as long as what it returns is kept.
func heap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// At gives the line's value at a size.
func (s Slope) At(n float64) float64 { return s.Intercept + s.Slope*n }

// Find gives the slope of a name; the zero slope if there is none.
func (s Survey) Find(name string) Slope {
	for _, slope := range s.Slopes {
		if slope.Name == name {
			return slope
		}
	}
	return Slope{}
}

// String is the line that a run prints.
func (s Slope) String() string {
	return fmt.Sprintf("capacity: %-20s slope=%-10.6g intercept=%-10.6g r2=%-7.4g %s for each %s", s.Name, s.Slope, s.Intercept, s.R2, s.Unit, s.Per)
}

// Load reads a committed survey.
func Load(path string) (Survey, error) {
	var survey Survey
	data, err := os.ReadFile(path)
	if err != nil {
		return survey, err
	}
	return survey, json.Unmarshal(data, &survey)
}

// Save writes a survey.
func (s Survey) Save(path string) error {
	data, err := json.MarshalIndent(s, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}
