package meter

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// prefix begins the name of each metric in the Prometheus text form.
const prefix = "geraniumline_"

// quantiles are those that both forms give of a histogram.
var quantiles = []float64{0.5, 0.95, 0.99, 0.999}

// reading is what one series stood at.
type reading struct {
	Name      Name               `json:"name"`
	Label     string             `json:"label,omitempty"`
	Unit      string             `json:"unit"`
	Value     *int64             `json:"value,omitempty"`
	Count     *int64             `json:"count,omitempty"`
	Sum       *int64             `json:"sum,omitempty"`
	Max       *int64             `json:"max,omitempty"`
	Quantiles map[string]float64 `json:"quantiles,omitempty"`
}

// JSONHandler serves all metrics as JSON.
func (m *Meter) JSONHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error here means that the reader has gone.
		_ = json.NewEncoder(w).Encode(struct {
			Metrics []reading `json:"metrics"`
		}{m.readings()})
	})
}

// PrometheusHandler serves all metrics in the Prometheus text form, histograms as summaries.
func (m *Meter) PrometheusHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_, _ = io.WriteString(w, m.Prometheus())
	})
}

// Prometheus returns all metrics in the Prometheus text form.
func (m *Meter) Prometheus() string {
	var b strings.Builder
	readings := m.readings()
	for _, d := range definitions {
		first := true
		for _, r := range readings {
			if r.Name != d.Name {
				continue
			}
			if first {
				writeHead(&b, d)
				first = false
			}
			writeReading(&b, d, r)
		}
	}
	return b.String()
}

func writeHead(b *strings.Builder, d Definition) {
	kind := string(d.Kind)
	if d.Kind == KindHistogram {
		kind = "summary"
	}
	fmt.Fprintf(b, "# HELP %s%s %s Unit: %s.\n", prefix, d.Name, d.Help, d.Unit)
	fmt.Fprintf(b, "# TYPE %s%s %s\n", prefix, d.Name, kind)
}

func writeReading(b *strings.Builder, d Definition, r reading) {
	var pairs []string
	if r.Label != "" {
		pairs = append(pairs, pair(d.Label, r.Label))
	}
	if r.Value != nil {
		fmt.Fprintf(b, "%s%s%s %d\n", prefix, d.Name, braces(pairs), *r.Value)
		return
	}
	for _, q := range quantiles {
		name := quantileName(q)
		fmt.Fprintf(b, "%s%s%s %g\n", prefix, d.Name, braces(append(pairs, pair("quantile", name))), r.Quantiles[name])
	}
	fmt.Fprintf(b, "%s%s_sum%s %d\n", prefix, d.Name, braces(pairs), *r.Sum)
	fmt.Fprintf(b, "%s%s_count%s %d\n", prefix, d.Name, braces(pairs), *r.Count)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func pair(name, value string) string {
	return fmt.Sprintf(`%s="%s"`, name, labelEscaper.Replace(value))
}

func braces(pairs []string) string {
	if len(pairs) == 0 {
		return ""
	}
	return "{" + strings.Join(pairs, ",") + "}"
}

func quantileName(q float64) string { return fmt.Sprintf("%g", q) }

// readings reads all series, in the order of their names and labels.
func (m *Meter) readings() []reading {
	m.mu.RLock()
	defer m.mu.RUnlock()
	readings := make([]reading, 0, len(m.series))
	for key, metric := range m.series {
		readings = append(readings, read(key, metric))
	}
	sort.Slice(readings, func(i, j int) bool {
		if readings[i].Name != readings[j].Name {
			return readings[i].Name < readings[j].Name
		}
		return readings[i].Label < readings[j].Label
	})
	return readings
}

func read(key series, metric any) reading {
	d, _ := definitionOf(key.name)
	r := reading{Name: key.name, Label: key.label, Unit: d.Unit}
	switch metric := metric.(type) {
	case metrics.Counter:
		r.Value = new(metric.Count())
	case metrics.Gauge:
		r.Value = new(metric.Value())
	case metrics.Histogram:
		r.readHistogram(metric.Snapshot())
	}
	return r
}

func (r *reading) readHistogram(h metrics.Histogram) {
	r.Count = new(h.Count())
	r.Sum = new(h.Sum())
	r.Max = new(h.Max())
	r.Quantiles = make(map[string]float64, len(quantiles))
	for i, value := range h.Percentiles(quantiles) {
		r.Quantiles[quantileName(quantiles[i])] = value
	}
}
