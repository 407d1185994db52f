package starter

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// MetricError tells that an entry publishes no metric of a name.
type MetricError struct {
	Entry, Metric string
}

func (e *MetricError) Error() string { return fmt.Sprintf("%s publishes no %s", e.Entry, e.Metric) }

// Metric reads one unlabelled metric of an entry.
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
