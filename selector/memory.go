package selector

import "geraniumline/hasher"

// chainKeys gives a key for each beginning of the prompt: a part is of use only if all parts before it are held.
func chainKeys(parts []Part) []uint64 {
	keys := make([]uint64, len(parts))
	chain := uint64(0)
	for i, part := range parts {
		chain = hasher.Mix(chain ^ part.ID)
		keys[i] = chain
	}
	return keys
}

// largestShared gives the index of the part by which a prompt finds its home: the largest but the last, which
// belongs to the request itself unless it is the only one.
func largestShared(parts []Part) int {
	best := 0
	for i := range max(len(parts)-1, 1) {
		if parts[i].Tokens > parts[best].Tokens {
			best = i
		}
	}
	return best
}

// sharedTokens is the size of all parts that other requests may have too.
func sharedTokens(parts []Part) int {
	n := 0
	for _, part := range parts[:max(len(parts)-1, 0)] {
		n += part.Tokens
	}
	return n
}

// memory holds the prompt beginnings that were sent to an endpoint, the newest ones. It is a hint: what is wrong in it
// costs time, never a request.
type memory struct {
	keys  map[uint64]struct{}
	order []uint64
}

func (m *memory) remember(keys []uint64) {
	if m.keys == nil {
		m.keys = make(map[uint64]struct{})
	}
	for _, key := range keys {
		if _, known := m.keys[key]; known {
			continue
		}
		m.keys[key] = struct{}{}
		m.order = append(m.order, key)
	}
	for len(m.order) > maxRemembered {
		delete(m.keys, m.order[0])
		m.order = m.order[1:]
	}
}

// held gives the tokens of the longest beginning that the endpoint is believed to hold.
func (m *memory) held(keys []uint64, parts []Part) int {
	n := 0
	for i, key := range keys {
		if _, known := m.keys[key]; !known {
			return n
		}
		n += parts[i].Tokens
	}
	return n
}
