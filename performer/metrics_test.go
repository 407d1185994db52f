package performer

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/reducer"
)

// A count of the core without a metric would be invisible to operators.
func TestEveryCoreCounterIsPublished(t *testing.T) {
	elsewhere := map[string]string{
		"RequestsAnswered": "counted per account by receiver",
		"StageCalls":       "counted per stage by this package",
	}
	fields := reflect.TypeFor[reducer.Counters]()
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		var counters reducer.Counters
		reflect.ValueOf(&counters).Elem().Field(i).SetUint(1)
		published := 0
		for _, c := range coreCounters {
			published += int(c.value(&counters))
		}
		if elsewhere[name] != "" {
			require.Zero(t, published, name)
			continue
		}
		require.Equal(t, 1, published, name)
	}
}
