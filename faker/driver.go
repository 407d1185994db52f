package faker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"geraniumline/platformserver"
)

// ControlClient controls a stand-in in another process through its control paths.
type ControlClient struct {
	base   string
	client *http.Client
}

// NewControlClient returns a client for the stand-in at address, given as host:port.
func NewControlClient(address string) *ControlClient {
	return &ControlClient{base: "http://" + address, client: &http.Client{}}
}

// ControlError reports a control call that the stand-in refused.
type ControlError struct {
	Path   string
	Status int
	Body   string
}

// Error returns the path, the status and the response body.
func (e *ControlError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Path, e.Status, e.Body)
}

// SetFaults replaces all fault switches. faults is a Faults, LogFaults, VMFaults or WeightFaults.
func (c *ControlClient) SetFaults(ctx context.Context, faults any) error {
	return c.call(ctx, http.MethodPut, faultsPath, faults, nil)
}

// SetVMs replaces the VM list.
func (c *ControlClient) SetVMs(ctx context.Context, vms []platformserver.VM) error {
	return c.call(ctx, http.MethodPut, vmsPath, vmList{VMs: vms}, nil)
}

// Ledger returns the executions of an endpoint.
func (c *ControlClient) Ledger(ctx context.Context) (LedgerPage, error) {
	var page LedgerPage
	err := c.call(ctx, http.MethodGet, ledgerPath, nil, &page)
	return page, err
}

// LogLedger returns the counters of the log service.
func (c *ControlClient) LogLedger(ctx context.Context) (LogLedger, error) {
	var ledger LogLedger
	err := c.call(ctx, http.MethodGet, ledgerPath, nil, &ledger)
	return ledger, err
}

// ClearLedger deletes the executions of an endpoint or resets the counters of the log service.
func (c *ControlClient) ClearLedger(ctx context.Context) error {
	return c.call(ctx, http.MethodDelete, ledgerPath, nil, nil)
}

// Trim deletes the records of a log stream below an offset.
func (c *ControlClient) Trim(ctx context.Context, call TrimCall) error {
	return c.call(ctx, http.MethodPost, trimPath, call, nil)
}

// Restore restores the log to the state of an older copy.
func (c *ControlClient) Restore(ctx context.Context, call RestoreCall) error {
	return c.call(ctx, http.MethodPost, returnPath, call, nil)
}

func (c *ControlClient) call(ctx context.Context, method, path string, in, out any) (err error) {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, &body)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxControlBodyBytes))
		return &ControlError{Path: path, Status: resp.StatusCode, Body: string(text)}
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
