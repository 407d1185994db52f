package selector

import "geraniumline/hasher"

// prefixKeys returns a key for each prefix of the prompt. A cached part is only useful if all parts before it are
// cached too.
func prefixKeys(parts []Part) []uint64 {
	keys := make([]uint64, len(parts))
	chain := uint64(0)
	for i, part := range parts {
		chain = hasher.Mix(chain ^ part.ID)
		keys[i] = chain
	}
	return keys
}

// largestSharedPart returns the index of the part that determines the prompt's home endpoints: the largest one except
// the last. The last part belongs to this request alone, unless it is the only part.
func largestSharedPart(parts []Part) int {
	best := 0
	for i := range max(len(parts)-1, 1) {
		if parts[i].Tokens > parts[best].Tokens {
			best = i
		}
	}
	return best
}

// promptTokens returns the total size of a prompt, in tokens.
func promptTokens(parts []Part) int {
	n := 0
	for _, part := range parts {
		n += part.Tokens
	}
	return n
}

// SharedTokens returns the total size of the parts of a prompt that other requests may share, in tokens.
func SharedTokens(parts []Part) int {
	n := 0
	for _, part := range parts[:max(len(parts)-1, 0)] {
		n += part.Tokens
	}
	return n
}

// prefixSet holds the prompt prefixes most recently sent to an endpoint. It is only a hint: a wrong entry costs time
// but never fails a request.
type prefixSet struct {
	keys  map[uint64]struct{}
	order []uint64
}

func (m *prefixSet) add(keys []uint64) {
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
	for len(m.order) > maxRememberedPrefixes {
		delete(m.keys, m.order[0])
		m.order = m.order[1:]
	}
}

// heldTokens returns the size of the longest prefix that the endpoint is believed to hold, in tokens.
func (m *prefixSet) heldTokens(keys []uint64, parts []Part) int {
	n := 0
	if len(m.keys) == 0 {
		return n
	}
	for i, key := range keys {
		if _, known := m.keys[key]; !known {
			return n
		}
		n += parts[i].Tokens
	}
	return n
}
