// Package meter holds an entry's metrics and serves them as JSON and in the Prometheus text form.
package meter

import (
	"fmt"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// MaxLabels bounds the labels of one counter or gauge, and MaxHistogramLabels those of one histogram.
// Labels come from configuration, which may name tens of thousands of client accounts; without a bound
// the metrics alone would grow past what an entry may use, and a scrape of them past what one reads.
const (
	MaxLabels          = 512
	MaxHistogramLabels = 64
)

// OtherLabel takes the counts of labels past MaxLabels.
const OtherLabel = "other"

// Meter gives out metrics by name. It is safe for concurrent use. The metrics that it gives out may be
// kept and updated without it. Updates take no goroutine.
type Meter struct {
	registry metrics.Registry

	mu     sync.RWMutex
	series map[series]any
	labels map[Name]int
}

// series is one metric under one label.
type series struct {
	name  Name
	label string
}

// New returns a Meter with every metric that has no label at zero. Packages that count by name in its
// registry meet the same metrics there.
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

// Counter returns the counter of the name, for the label's value where the metric has a label.
// It panics on a name of another kind, which is a mistake in the program.
func (m *Meter) Counter(name Name, label ...string) metrics.Counter {
	return m.get(name, KindCounter, first(label)).(metrics.Counter)
}

// Gauge returns the gauge of the name, as Counter does.
func (m *Meter) Gauge(name Name, label ...string) metrics.Gauge {
	return m.get(name, KindGauge, first(label)).(metrics.Gauge)
}

// Histogram returns the histogram of the name, as Counter does.
func (m *Meter) Histogram(name Name, label ...string) metrics.Histogram {
	return m.get(name, KindHistogram, first(label)).(metrics.Histogram)
}

// Registry returns the go-metrics registry behind the Meter.
func (m *Meter) Registry() metrics.Registry { return m.registry }

func first(label []string) string {
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
	// The registry only lists metrics for readers; a name is added once, under mu.
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
		panic(fmt.Sprintf("meter: %q is no %s", name, kind))
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
