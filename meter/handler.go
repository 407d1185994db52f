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

// prefix is prepended to metric names in the Prometheus text format.
const prefix = "geraniumline_"

// quantiles lists the quantiles of histograms that both formats contain.
var quantiles = []float64{0.5, 0.95, 0.99, 0.999}

// reading is the current value of one series.
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

// JSONHandler returns a handler that serves all metrics as JSON.
func (m *Meter) JSONHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error here means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(struct {
			Metrics []reading `json:"metrics"`
		}{m.readings()})
	})
}

// PrometheusHandler returns a handler that serves all metrics in the Prometheus text format, histograms as summaries.
func (m *Meter) PrometheusHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_, _ = io.WriteString(w, m.Prometheus())
	})
}

// Prometheus returns all metrics in the Prometheus text format.
func (m *Meter) Prometheus() string {
	var b strings.Builder
	readings := m.readings()
	for _, d := range definitions {
		firstOfMetric := true
		for _, r := range readings {
			if r.Name != d.Name {
				continue
			}
			if firstOfMetric {
				writeHeader(&b, d)
				firstOfMetric = false
			}
			writeReading(&b, d, r)
		}
	}
	return b.String()
}

func writeHeader(b *strings.Builder, d Definition) {
	kind := string(d.Kind)
	if d.Kind == KindHistogram {
		kind = "summary"
	}
	fmt.Fprintf(b, "# HELP %s%s %s Unit: %s.\n", prefix, d.Name, d.Help, d.Unit)
	fmt.Fprintf(b, "# TYPE %s%s %s\n", prefix, d.Name, kind)
}

func writeReading(b *strings.Builder, d Definition, r reading) {
	var labels []string
	if r.Label != "" {
		labels = append(labels, labelPair(d.Label, r.Label))
	}
	if r.Value != nil {
		fmt.Fprintf(b, "%s%s%s %d\n", prefix, d.Name, joinLabels(labels), *r.Value)
		return
	}
	for _, q := range quantiles {
		name := quantileName(q)
		fmt.Fprintf(b, "%s%s%s %g\n", prefix, d.Name, joinLabels(append(labels, labelPair("quantile", name))), r.Quantiles[name])
	}
	fmt.Fprintf(b, "%s%s_sum%s %d\n", prefix, d.Name, joinLabels(labels), *r.Sum)
	fmt.Fprintf(b, "%s%s_count%s %d\n", prefix, d.Name, joinLabels(labels), *r.Count)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func labelPair(name, value string) string {
	return fmt.Sprintf(`%s="%s"`, name, labelEscaper.Replace(value))
}

func joinLabels(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return "{" + strings.Join(labels, ",") + "}"
}

func quantileName(q float64) string { return fmt.Sprintf("%g", q) }

// readings returns the current values of all series, sorted by name and label.
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
