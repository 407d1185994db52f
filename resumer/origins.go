package resumer

import "time"

const (
	// MaxOrigins limits the origins that are kept: several times those at an entry of a large fleet.
	MaxOrigins = 1 << 16
	// expiryInterval is the time between removals of expired origins.
	expiryInterval = time.Second
)

// Origin is the version that began a stream.
type Origin struct {
	Key     Key
	Service string
	Version string
	// Doubtful is set if the stream may have been begun by another version.
	Doubtful bool
	Expires  time.Time
	// Own is set if this entry served the stream's beginning, at Endpoint.
	Own      bool
	Endpoint string
}

// Origins holds the origins of streams that may be resumed.
type Origins struct {
	byKey     map[Key]Origin
	expiredAt time.Time
}

// NewOrigins returns Origins without any.
func NewOrigins() *Origins { return &Origins{byKey: make(map[Key]Origin)} }

// Len returns the number of origins that are kept.
func (o *Origins) Len() int { return len(o.byKey) }

// Add keeps an origin. It returns false if too many are kept already. A stream for which two versions are named is doubtful.
func (o *Origins) Add(origin Origin, now time.Time) bool {
	o.expire(now)
	known, found := o.byKey[origin.Key]
	if !found {
		if len(o.byKey) >= MaxOrigins {
			return false
		}
		o.byKey[origin.Key] = origin
		return true
	}
	known.Doubtful = known.Doubtful || origin.Doubtful || known.Version != origin.Version
	if origin.Expires.After(known.Expires) {
		known.Expires = origin.Expires
	}
	o.byKey[origin.Key] = known
	return true
}

// Find returns the origin of a stream.
func (o *Origins) Find(key Key, now time.Time) (Origin, bool) {
	origin, found := o.byKey[key]
	if !found || now.After(origin.Expires) {
		return Origin{}, false
	}
	return origin, true
}

// Own returns the origins of the streams that this entry served the beginning of and that match.
func (o *Origins) Own(match func(*Origin) bool, now time.Time) []Origin {
	var list []Origin
	for _, origin := range o.byKey {
		if origin.Own && !now.After(origin.Expires) && match(&origin) {
			list = append(list, origin)
		}
	}
	return list
}

func (o *Origins) expire(now time.Time) {
	if now.Sub(o.expiredAt) < expiryInterval {
		return
	}
	o.expiredAt = now
	for key, origin := range o.byKey {
		if now.After(origin.Expires) {
			delete(o.byKey, key)
		}
	}
}
