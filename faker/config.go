package faker

import (
	"fmt"
	"math"
)

// ConfigError reports a setting or switch of a stand-in that is out of range.
type ConfigError struct {
	Field string
	Value any
	Want  string
}

// Error returns a message with the field, its value and the allowed range.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is %v, want %s", e.Field, e.Value, e.Want)
}

func checkRate(field string, rate float64) error {
	if rate < 0 || rate > 1 || rate != rate {
		return &ConfigError{Field: field, Value: rate, Want: "a share from 0 to 1"}
	}
	return nil
}

func checkNotNegative[T int | int64 | float64](field string, n T) error {
	if n < 0 || math.IsNaN(float64(n)) {
		return &ConfigError{Field: field, Value: n, Want: "0 or more"}
	}
	return nil
}

// firstError returns the first non-nil error, or nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func valueOrDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}
