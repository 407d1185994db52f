package faker

import (
	"fmt"
	"math"
)

// ConfigError tells which setting or switch of a stand-in is out of its range.
type ConfigError struct {
	Field string
	Value any
	Want  string
}

// Error names the field, its value and what is allowed.
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

// firstError returns the first of errs that is not nil.
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
