// Package claimer decides by log order which incarnation of which entry may dispatch a request that must run at
// most once. Everything here is pure: the log's records go in, decisions come out.
package claimer

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Key names one request: a client account and its idempotency key. The key is a UUIDv7.
type Key struct {
	Account string
	Key     string
}

// KeyFormatError tells of an idempotency key that does not hold its time of birth.
type KeyFormatError struct {
	Key string
}

func (e *KeyFormatError) Error() string {
	return fmt.Sprintf("idempotency key %q is not a UUIDv7 of 36 characters", e.Key)
}

// KeyTooOldError tells of a key that is past its horizon: what became of it may be forgotten.
type KeyTooOldError struct {
	CreatedAt time.Time
	Horizon   time.Duration
}

func (e *KeyTooOldError) Error() string {
	return fmt.Sprintf("idempotency key of %s is older than %s", e.CreatedAt.UTC().Format(time.RFC3339Nano), e.Horizon)
}

// KeyFromFutureError tells of a key whose birth is later than clocks may differ.
type KeyFromFutureError struct {
	CreatedAt time.Time
}

func (e *KeyFromFutureError) Error() string {
	return fmt.Sprintf("idempotency key of %s is from the future", e.CreatedAt.UTC().Format(time.RFC3339Nano))
}

// MaxSkew is how far the clocks of callers, entries and the log may differ.
const MaxSkew = time.Minute

const uuidTextBytes = 36

// parseKey takes only the canonical text form, in either case, so that one key has one meaning.
func parseKey(key string) (uuid.UUID, error) {
	id, err := uuid.Parse(key)
	if err != nil || len(key) != uuidTextBytes || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, &KeyFormatError{Key: key}
	}
	return id, nil
}

// KeyTime gives the time at which the caller made the key, to the millisecond, or a *KeyFormatError.
func KeyTime(key string) (time.Time, error) {
	id, err := parseKey(key)
	if err != nil {
		return time.Time{}, err
	}
	return time.UnixMilli(birthMillis(id)), nil
}

// birthMillis reads the first 48 bits, which hold the Unix milliseconds (RFC 9562, 5.7).
func birthMillis(id uuid.UUID) int64 {
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return millis
}

// CheckAge refuses a key that is past its horizon (*KeyTooOldError) or from the future (*KeyFromFutureError).
func CheckAge(birth, now time.Time, horizon time.Duration) error {
	if now.Sub(birth) > horizon {
		return &KeyTooOldError{CreatedAt: birth, Horizon: horizon}
	}
	if birth.Sub(now) > MaxSkew {
		return &KeyFromFutureError{CreatedAt: birth}
	}
	return nil
}
