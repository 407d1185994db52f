package starter

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// MetricError reports that an entry publishes no metric with the given name.
type MetricError struct {
	Entry, Metric string
}

func (e *MetricError) Error() string {
	return fmt.Sprintf("%s does not publish metric %s", e.Entry, e.Metric)
}

// Metric returns the value of an unlabelled metric of an entry. The name is that of the Prometheus text format. It
// returns a MetricError if the entry does not publish the metric.
func (f *Fleet) Metric(ctx context.Context, entry *Entry, name string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.OperatorAddress+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	request.SetBasicAuth(operatorName, f.operator)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		found, value, _ := strings.Cut(lines.Text(), " ")
		if found == name {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, &MetricError{Entry: entry.name, Metric: name}
}
