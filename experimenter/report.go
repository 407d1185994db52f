package experimenter

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report holds the results of a series of runs of one scenario.
type Report struct {
	Scenario string    `json:"scenario"`
	Purpose  string    `json:"purpose"`
	Disabled []string  `json:"without"`
	Bound    float64   `json:"bound"`
	Results  []*Result `json:"results"`
}

// WriteText writes the report as Markdown.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n\n", r.Scenario, r.Purpose)
	if len(r.Disabled) > 0 {
		fmt.Fprintf(&b, "Without %s.\n\n", strings.Join(r.Disabled, ", "))
	}
	fmt.Fprintf(&b, "%d seeds; worth earned %.3f at the mean of what all on time would be worth; stages allow %.3f at most.\n\n",
		len(r.Results), r.meanEarned(), r.Bound)
	b.WriteString("| kind | asked | on time | late | refused | failed | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|\n")
	for i, k := range r.Results[0].Kinds {
		r.kindRow(&b, i, k.Name)
	}
	b.WriteString("\n| pool | calls | pieces a call | busy s | calls refused | pieces without room | inputs gone |\n|---|---|---|---|---|---|---|\n")
	for i, p := range r.Results[0].Pools {
		r.poolRow(&b, i, p.Name)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Report) meanEarned() float64 { return r.mean(func(x *Result) float64 { return x.Earned }) }

func (r *Report) mean(value func(*Result) float64) float64 {
	total := 0.0
	for _, x := range r.Results {
		total += value(x)
	}
	return total / float64(len(r.Results))
}

func (r *Report) kindRow(b *strings.Builder, i int, name string) {
	share := func(value func(*KindResult) int) float64 {
		return r.mean(func(x *Result) float64 { return float64(value(x.Kinds[i])) / float64(max(1, x.Kinds[i].Requests)) })
	}
	fmt.Fprintf(b, "| %s | %.0f | %.3f | %.3f | %.3f | %.3f | %.0f | %.0f |\n", name,
		r.mean(func(x *Result) float64 { return float64(x.Kinds[i].Requests) }),
		share(func(k *KindResult) int { return k.OnTime }),
		share(func(k *KindResult) int { return k.Late }),
		share(func(k *KindResult) int { return k.Refused }),
		share(func(k *KindResult) int { return k.Failed }),
		r.mean(func(x *Result) float64 { return float64(x.Kinds[i].P50Millis) }),
		r.mean(func(x *Result) float64 { return float64(x.Kinds[i].P99Millis) }))
}

func (r *Report) poolRow(b *strings.Builder, i int, name string) {
	fmt.Fprintf(b, "| %s | %.0f | %.1f | %.1f | %.0f | %.0f | %.0f |\n", name,
		r.mean(func(x *Result) float64 { return float64(x.Pools[i].Calls) }),
		r.mean(func(x *Result) float64 { return float64(x.Pools[i].Pieces) / float64(max(1, x.Pools[i].Calls)) }),
		r.mean(func(x *Result) float64 { return x.Pools[i].BusySeconds }),
		r.mean(func(x *Result) float64 { return float64(x.Pools[i].CallsRefused) }),
		r.mean(func(x *Result) float64 { return float64(x.Pools[i].NoSpace) }),
		r.mean(func(x *Result) float64 { return float64(x.Pools[i].InputsMissing) }))
}

// Save writes the report to a directory as Markdown and JSON, with an SVG plot of the times to the first event. It creates the
// directory if necessary.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, r.Scenario+".json"), append(data, '\n'), 0o644); err != nil {
		return err
	}
	text, err := os.Create(filepath.Join(dir, r.Scenario+".md"))
	if err != nil {
		return err
	}
	if err := r.WriteText(text); err != nil {
		return err
	}
	if err := text.Close(); err != nil {
		return err
	}
	return r.savePlot(filepath.Join(dir, r.Scenario+".svg"))
}

// savePlot plots the cumulative distribution of the times to the first event in the first run, with one line per kind.
func (r *Report) savePlot(file string) error {
	p := plot.New()
	p.X.Label.Text = "time to the first event, ms"
	p.Y.Label.Text = "share of the answered"
	p.Y.Max = 1
	p.Legend.Top = false
	var lines []any
	for _, k := range r.Results[0].Kinds {
		lines = append(lines, k.Name, k.distribution())
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}

func (k *KindResult) distribution() plotter.XYs {
	var line plotter.XYs
	for _, b := range k.firstEventTimes.CumulativeDistribution() {
		line = append(line, plotter.XY{X: float64(b.ValueAt), Y: b.Quantile / 100})
	}
	return line
}

// ReadReport reads the JSON file of a report that Save has written.
func ReadReport(file string) (*Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &r, nil
}
