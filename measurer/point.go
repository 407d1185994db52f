package measurer

import "fmt"

// Point is one point of the plot of attainment and cost against load.
type Point struct {
	// Policy is "ours" for the policy under test, or the name of a baseline.
	Policy string
	// Load is the offered load as a multiple of the capacity.
	Load float64
	// Attainment is the share of the offered requests that were answered in time.
	Attainment float64
	// Cost is the work per request answered in time, in endpoint milliseconds.
	Cost float64
	// Goodput is the rate of requests answered in time as a share of the capacity.
	Goodput float64
}

// PointPrefix begins each line that contains a Point.
const PointPrefix = "policy-point: "

func (p Point) String() string {
	return fmt.Sprintf("%sway=%s load=%g attainment=%.4g cost=%.4g goodput=%.4g",
		PointPrefix, p.Policy, p.Load, p.Attainment, p.Cost, p.Goodput)
}
