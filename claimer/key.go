// Package claimer determines by log order which incarnation of which entry may dispatch a request that must run
// at most once. The package does no I/O: it turns log records into decisions.
package claimer

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Key identifies one request by client account and idempotency key. The idempotency key is a UUIDv7.
type Key struct {
	Account string
	Key     string
}

// KeyFormatError reports an idempotency key that doesn't contain its creation time.
type KeyFormatError struct {
	Key string
}

func (e *KeyFormatError) Error() string {
	return fmt.Sprintf("idempotency key %q is not a UUIDv7 of 36 characters", e.Key)
}

// KeyTooOldError reports a key that is past its horizon. The outcome of its request may have been forgotten.
type KeyTooOldError struct {
	CreatedAt time.Time
	Horizon   time.Duration
}

func (e *KeyTooOldError) Error() string {
	return fmt.Sprintf("idempotency key of %s is older than %s", e.CreatedAt.UTC().Format(time.RFC3339Nano), e.Horizon)
}

// KeyFromFutureError reports a key whose creation time is further ahead than clocks may differ.
type KeyFromFutureError struct {
	CreatedAt time.Time
}

func (e *KeyFromFutureError) Error() string {
	return fmt.Sprintf("idempotency key of %s is from the future", e.CreatedAt.UTC().Format(time.RFC3339Nano))
}

// MaxSkew is the maximum difference between the clocks of callers, entries and the log.
const MaxSkew = time.Minute

const uuidTextBytes = 36

// parseKey accepts only the canonical text form, in upper or lower case, so that a key has only one
// interpretation.
func parseKey(key string) (uuid.UUID, error) {
	id, err := uuid.Parse(key)
	if err != nil || len(key) != uuidTextBytes || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, &KeyFormatError{Key: key}
	}
	return id, nil
}

// KeyTime returns the time at which the caller created the key, in millisecond precision, or a *KeyFormatError.
func KeyTime(key string) (time.Time, error) {
	id, err := parseKey(key)
	if err != nil {
		return time.Time{}, err
	}
	return time.UnixMilli(keyTimeMillis(id)), nil
}

// keyTimeMillis returns the first 48 bits, which hold Unix milliseconds (RFC 9562, 5.7).
func keyTimeMillis(id uuid.UUID) int64 {
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return millis
}

// CheckAge returns a *KeyTooOldError for a key past its horizon and a *KeyFromFutureError for one that is more
// than MaxSkew ahead of now.
func CheckAge(createdAt, now time.Time, horizon time.Duration) error {
	if now.Sub(createdAt) > horizon {
		return &KeyTooOldError{CreatedAt: createdAt, Horizon: horizon}
	}
	if createdAt.Sub(now) > MaxSkew {
		return &KeyFromFutureError{CreatedAt: createdAt}
	}
	return nil
}
