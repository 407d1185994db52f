// Package meter collects an entry's metrics and serves them as JSON and in the Prometheus text format.
package meter

import (
	"fmt"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// MaxLabels limits the label values of one counter or gauge, and MaxHistogramLabels those of one histogram.
// Label values come from configuration, which may contain tens of thousands of client accounts. Without a limit
// the metrics alone would exceed what an entry may use, and a scrape would be larger than its reader accepts.
const (
	MaxLabels          = 512
	MaxHistogramLabels = 64
)

// OtherLabel is the label value under which values above the limit are counted.
const OtherLabel = "other"

// Meter provides metrics by name. It is safe for concurrent use. The metrics that it returns may be
// stored and updated without it. Updates start no goroutine.
type Meter struct {
	registry metrics.Registry

	mu     sync.RWMutex
	series map[series]any
	labels map[Name]int
}

// series identifies one metric with one label value.
type series struct {
	name  Name
	label string
}

// New returns a Meter in which every metric without a label exists and is zero. Packages that look metrics up by
// name in its registry get the same metrics.
func New() *Meter {
	m := &Meter{
		registry: metrics.NewRegistry(),
		series:   make(map[series]any),
		labels:   make(map[Name]int),
	}
	for _, d := range definitions {
		if d.Label == "" {
			m.get(d.Name, d.Kind, "")
		}
	}
	return m
}

// Counter returns the counter with the given name, for the given label value if the metric has a label.
// It panics if the name is undefined or of another kind, which is a programming error.
func (m *Meter) Counter(name Name, label ...string) metrics.Counter {
	return m.get(name, KindCounter, optionalLabel(label)).(metrics.Counter)
}

// Gauge returns the gauge with the given name. Its arguments and panics are those of Counter.
func (m *Meter) Gauge(name Name, label ...string) metrics.Gauge {
	return m.get(name, KindGauge, optionalLabel(label)).(metrics.Gauge)
}

// Histogram returns the histogram with the given name. Its arguments and panics are those of Counter.
func (m *Meter) Histogram(name Name, label ...string) metrics.Histogram {
	return m.get(name, KindHistogram, optionalLabel(label)).(metrics.Histogram)
}

// Registry returns the go-metrics registry that the metrics are registered in.
func (m *Meter) Registry() metrics.Registry { return m.registry }

func optionalLabel(label []string) string {
	if len(label) == 0 {
		return ""
	}
	return label[0]
}

func (m *Meter) get(name Name, kind Kind, label string) any {
	key := series{name, label}
	m.mu.RLock()
	metric, ok := m.series[key]
	m.mu.RUnlock()
	if ok {
		return metric
	}
	return m.add(key, kind)
}

func (m *Meter) add(key series, kind Kind) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	if metric, ok := m.series[key]; ok {
		return metric
	}
	if key.label != "" && m.labels[key.name] >= maxLabels(kind) {
		m.series[series{LabelsDropped, ""}].(metrics.Counter).Inc(1)
		key.label = OtherLabel
		if metric, ok := m.series[key]; ok {
			return metric
		}
	}
	metric := newMetric(key.name, kind)
	m.series[key] = metric
	m.labels[key.name]++
	// The registry only lists metrics for readers. Each name is registered once, under mu.
	_ = m.registry.Register(registryName(key), metric)
	return metric
}

func maxLabels(kind Kind) int {
	if kind == KindHistogram {
		return MaxHistogramLabels
	}
	return MaxLabels
}

func registryName(key series) string {
	if d, ok := definitionOf(key.name); ok && d.RegistryName != "" {
		return d.RegistryName
	}
	if key.label == "" {
		return string(key.name)
	}
	return string(key.name) + "." + key.label
}

func newMetric(name Name, kind Kind) any {
	d, ok := definitionOf(name)
	if !ok || d.Kind != kind {
		panic(fmt.Sprintf("meter: metric %q is not defined as a %s", name, kind))
	}
	switch kind {
	case KindGauge:
		return metrics.NewGauge()
	case KindHistogram:
		return newHistogram()
	default:
		return metrics.NewCounter()
	}
}

func definitionOf(name Name) (Definition, bool) {
	for _, d := range definitions {
		if d.Name == name {
			return d, true
		}
	}
	return Definition{}, false
}
