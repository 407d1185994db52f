// Package appender is the client of the platform's append-only log.
package appender

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"geraniumline/platformserver"
	"geraniumline/recorder"
)

// Config says where the log is and how long to wait for it.
type Config struct {
	// URL is the platform's address, such as http://10.0.0.1:9000.
	URL  string
	HTTP *http.Client
	// AppendTimeout ends an append whose reply does not come.
	AppendTimeout time.Duration
	// ReadTimeout ends a read, beyond the time that the read itself asks the log to wait.
	ReadTimeout time.Duration
	// PollWait is how long Tail asks the log to wait for the next record.
	PollWait time.Duration
	// PageRecords bounds the records that Tail asks for at once.
	PageRecords int
	// MinBackoff and MaxBackoff bound Tail's wait after a failed read. Jitter is added from the shared source,
	// which is enough: Tail is a performer and decides nothing that a replay must repeat.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultPageRecords is how many records Tail asks for at once: a shorter page reaches the stream's end.
const DefaultPageRecords = 1000

const (
	defaultAppendTimeout = time.Second
	defaultReadTimeout   = 2 * time.Second
	defaultPollWait      = 5 * time.Second
	defaultMinBackoff    = 100 * time.Millisecond
	defaultMaxBackoff    = 2 * time.Second
)

func (c Config) withDefaults() Config {
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: newTransport()}
	}
	if c.PageRecords <= 0 {
		c.PageRecords = DefaultPageRecords
	}
	setDuration(&c.AppendTimeout, defaultAppendTimeout)
	setDuration(&c.ReadTimeout, defaultReadTimeout)
	setDuration(&c.PollWait, defaultPollWait)
	setDuration(&c.MinBackoff, defaultMinBackoff)
	setDuration(&c.MaxBackoff, defaultMaxBackoff)
	return c
}

// idleConnections covers the tails of all streams and the appends that a batcher has in flight. The default of
// two would close and dial a connection for most appends, at the cost of a round trip before each.
const idleConnections = 16

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
)

// Close lets go of the connections that are idle.
func (a *Appender) Close() { a.cfg.HTTP.CloseIdleConnections() }

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Appender appends to the platform's log and reads from it.
type Appender struct {
	cfg    Config
	client *platformserver.Client
}

// New gives an appender, or an error if the URL cannot be parsed.
func New(cfg Config) (*Appender, error) {
	cfg = cfg.withDefaults()
	client, err := platformserver.NewClient(cfg.URL, platformserver.WithClient(cfg.HTTP))
	if err != nil {
		return nil, err
	}
	return &Appender{cfg: cfg, client: client}, nil
}

// Append appends one record and gives its offset. Errors are a *RefusedError if the record was surely not
// appended, or an *UncertainError if it may have been or may yet be.
func (a *Appender) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.AppendTimeout)
	defer cancel()
	call := &platformserver.AppendCall{Data: data}
	reply, err := a.client.AppendRecord(ctx, call, platformserver.AppendRecordParams{Stream: stream})
	if err != nil {
		return 0, appendError(stream, err)
	}
	return reply.Offset, nil
}

// Page is a run of records. First is the log's oldest kept offset, Next the offset to read from next.
type Page struct {
	Records []recorder.Record
	First   int64
	Next    int64
	// Era counts the returns of the log from an older copy. Offsets of another era say nothing of this one's records.
	Era int64
}

// Read gives the records from an offset on, up to limit. It waits up to wait for the first one.
func (a *Appender) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+a.cfg.ReadTimeout)
	defer cancel()
	reply, err := a.client.ReadRecords(ctx, platformserver.ReadRecordsParams{
		Stream:     stream,
		From:       from,
		Limit:      platformserver.NewOptInt(limit),
		WaitMillis: platformserver.NewOptInt(int(wait.Milliseconds())),
	})
	if err != nil {
		return Page{}, &ReadError{Stream: stream, From: from, RetryAfter: retryAfter(err), Cause: err}
	}
	page := Page{Records: make([]recorder.Record, len(reply.Records)), First: reply.First, Next: reply.Next, Era: reply.Era.Or(0)}
	for i, r := range reply.Records {
		page.Records[i] = recorder.Record{Offset: r.Offset, AtMillis: r.AtMillis, Data: r.Data}
	}
	return page, nil
}

func retryAfter(err error) time.Duration {
	var refused *platformserver.PlatformErrorStatusCode
	if !errors.As(err, &refused) {
		return 0
	}
	return time.Duration(refused.Response.RetryAfterMillis.Or(0)) * time.Millisecond
}
