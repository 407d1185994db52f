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

// ControlClient drives a stand-in that runs as another process, by its control paths.
type ControlClient struct {
	base   string
	client *http.Client
}

// NewControlClient returns a driver of the stand-in at host:port.
func NewControlClient(address string) *ControlClient {
	return &ControlClient{base: "http://" + address, client: &http.Client{}}
}

// ControlError is a stand-in's refusal of a control call.
type ControlError struct {
	Path   string
	Status int
	Body   string
}

// Error names the path, the status and what the stand-in said.
func (e *ControlError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Path, e.Status, e.Body)
}

// SetFaults replaces all switches; faults is a Faults, LogFaults, VMFaults or WeightFaults.
func (d *ControlClient) SetFaults(ctx context.Context, faults any) error {
	return d.call(ctx, http.MethodPut, faultsPath, faults, nil)
}

// SetVMs replaces the list of VMs.
func (d *ControlClient) SetVMs(ctx context.Context, vms []platformserver.VM) error {
	return d.call(ctx, http.MethodPut, vmsPath, vmList{VMs: vms}, nil)
}

// Ledger returns an endpoint's executions.
func (d *ControlClient) Ledger(ctx context.Context) (LedgerPage, error) {
	var page LedgerPage
	err := d.call(ctx, http.MethodGet, ledgerPath, nil, &page)
	return page, err
}

// LogLedger returns the log service's counts.
func (d *ControlClient) LogLedger(ctx context.Context) (LogLedger, error) {
	var ledger LogLedger
	err := d.call(ctx, http.MethodGet, ledgerPath, nil, &ledger)
	return ledger, err
}

// ClearLedger forgets the executions of an endpoint or the counts of the log service.
func (d *ControlClient) ClearLedger(ctx context.Context) error {
	return d.call(ctx, http.MethodDelete, ledgerPath, nil, nil)
}

// Trim drops the records of a stream of the log service below an offset.
func (d *ControlClient) Trim(ctx context.Context, call TrimCall) error {
	return d.call(ctx, http.MethodPost, trimPath, call, nil)
}

// Restore has the log return from an older copy.
func (d *ControlClient) Restore(ctx context.Context, call RestoreCall) error {
	return d.call(ctx, http.MethodPost, returnPath, call, nil)
}

func (d *ControlClient) call(ctx context.Context, method, path string, in, out any) (err error) {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, d.base+path, &body)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
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
