package caller

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"geraniumline/callerserver"
)

// askTimeout bounds the question for addresses to one entry, so that a silent one does not use up a deadline.
const askTimeout = time.Second

// Addresses gives the entries to use, best first, from the last answer or a new one.
func (c *Caller) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	known, until := c.addresses, c.until
	c.mu.Unlock()
	if c.cfg.Now().Before(until) {
		return known, nil
	}
	var last error
	for _, entry := range append(known[:len(known):len(known)], c.cfg.Entries...) {
		answer, err := c.ask(ctx, entry)
		if err != nil {
			last = err
			continue
		}
		return c.keep(answer), nil
	}
	return nil, &NoEntryError{Err: last}
}

// addressesOrEntries gives the entries of the configuration where none answers the question.
func (c *Caller) addressesOrEntries(ctx context.Context) []string {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return c.cfg.Entries
	}
	return addresses
}

func (c *Caller) keep(answer *callerserver.AddressAnswer) []string {
	addresses := make([]string, 0, len(answer.Addresses))
	for _, address := range answer.Addresses {
		addresses = append(addresses, address.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
	c.until = c.cfg.Now().Add(time.Duration(answer.TtlMillis) * time.Millisecond)
	return addresses
}

// forget has the next call ask for addresses again.
func (c *Caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

func (c *Caller) ask(ctx context.Context, entry string) (*callerserver.AddressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// OutcomeAt asks one entry what became of a request.
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
