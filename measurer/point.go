package measurer

import "fmt"

// Point is one point of the picture of attainment and cost against load.
type Point struct {
	// Way is ours or the baseline's name.
	Way string
	// Load is the offered load as a multiple of the capacity.
	Load float64
	// Attainment is the part of the offered requests that was answered in time.
	Attainment float64
	// Cost is the work in endpoint milliseconds for each request answered in time.
	Cost float64
	// Goodput is requests answered in time as a part of the capacity.
	Goodput float64
}

// PointPrefix begins each line that holds a Point.
const PointPrefix = "policy-point: "

func (p Point) String() string {
	return fmt.Sprintf("%sway=%s load=%g attainment=%.4g cost=%.4g goodput=%.4g",
		PointPrefix, p.Way, p.Load, p.Attainment, p.Cost, p.Goodput)
}
