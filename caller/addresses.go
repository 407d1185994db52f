package caller

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"geraniumline/callerserver"
)

// addressTimeout bounds an address request to one entry, so that an unresponsive entry does not use up the
// deadline of a request.
const addressTimeout = time.Second

// Addresses returns the addresses of the entries to use, best first. It returns the cached list until that expires,
// then requests a new one. It returns a NoEntryError if no entry returns a list.
func (c *Caller) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	cached, expiry := c.addresses, c.expiry
	c.mu.Unlock()
	if c.cfg.Now().Before(expiry) {
		return cached, nil
	}
	var lastErr error
	for _, entry := range append(cached[:len(cached):len(cached)], c.cfg.Entries...) {
		answer, err := c.requestAddresses(ctx, entry)
		if err != nil {
			lastErr = err
			continue
		}
		return c.cacheAddresses(answer), nil
	}
	return nil, &NoEntryError{Err: lastErr}
}

// addressesOrEntries returns the configured entries if no entry returns a list of addresses.
func (c *Caller) addressesOrEntries(ctx context.Context) []string {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return c.cfg.Entries
	}
	return addresses
}

func (c *Caller) cacheAddresses(answer *callerserver.AddressAnswer) []string {
	addresses := make([]string, 0, len(answer.Addresses))
	for _, address := range answer.Addresses {
		addresses = append(addresses, address.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
	c.expiry = c.cfg.Now().Add(time.Duration(answer.TtlMillis) * time.Millisecond)
	return addresses
}

// expireAddresses makes the next call request the addresses again.
func (c *Caller) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiry = time.Time{}
}

func (c *Caller) requestAddresses(ctx context.Context, entry string) (*callerserver.AddressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	body, err := c.get(ctx, entry, "/v1/addresses")
	if err != nil {
		return nil, err
	}
	answer := &callerserver.AddressAnswer{}
	if err := answer.UnmarshalJSON(body); err != nil {
		return nil, err
	}
	if len(answer.Addresses) == 0 {
		return nil, &NoEntryError{}
	}
	return answer, nil
}

// OutcomeAt requests the outcome of the request with the given key from one entry.
func (c *Caller) OutcomeAt(ctx context.Context, entry, key string) (*callerserver.Outcome, error) {
	body, err := c.get(ctx, entry, "/v1/requests/"+url.PathEscape(key))
	if err != nil {
		return nil, err
	}
	outcome := &callerserver.Outcome{}
	return outcome, outcome.UnmarshalJSON(body)
}

func (c *Caller) get(ctx context.Context, entry, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(entry, path), nil)
	if err != nil {
		return nil, err
	}
	response, err := c.do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return readBody(response.Body)
}
