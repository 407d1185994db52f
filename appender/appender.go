// Package appender implements a client for the platform's append-only log.
package appender

import (
	"context"
	"errors"
	"net/http"
	"time"

	"geraniumline/connector"
	"geraniumline/platformserver"
	"geraniumline/recorder"
)

// Config holds the address of the log, timeouts and limits. Zero values select defaults, except for URL.
type Config struct {
	// URL is the platform's address, such as http://10.0.0.1:9000.
	URL  string
	HTTP *http.Client
	// AppendTimeout bounds an append, including the wait for its reply.
	AppendTimeout time.Duration
	// ReadTimeout bounds a read, in addition to the time that the read asks the log to wait.
	ReadTimeout time.Duration
	// PollWait is how long Tail asks the log to wait for the next record.
	PollWait time.Duration
	// PageRecords is the maximum number of records that Tail requests per read.
	PageRecords int
	// MinBackoff and MaxBackoff bound Tail's wait after a failed read. Its jitter comes from the global random source,
	// which is sufficient: Tail only performs I/O and makes no decision that a replay must reproduce.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultPageRecords is how many records Tail requests per read by default. A page with fewer records reaches the end
// of the stream.
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
		c.HTTP = NewHTTPClient(connector.NewBudget(2 * maxResponseBytes))
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

// Close closes the idle connections.
func (a *Appender) Close() { a.cfg.HTTP.CloseIdleConnections() }

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Appender appends records to the platform's log and reads them.
type Appender struct {
	cfg    Config
	client *platformserver.Client
}

// New returns an Appender, or an error if the URL cannot be parsed.
func New(cfg Config) (*Appender, error) {
	cfg = cfg.withDefaults()
	client, err := platformserver.NewClient(cfg.URL, platformserver.WithClient(cfg.HTTP))
	if err != nil {
		return nil, err
	}
	return &Appender{cfg: cfg, client: client}, nil
}

// Append appends a record and returns its offset. It fails with a *RefusedError if the record has not been and will not
// be appended, or with an *UncertainError if it may have been or may still be appended.
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

// Page holds consecutive records of a stream. First is the oldest offset that the log retains, Next the offset to read
// from next.
type Page struct {
	Records []recorder.Record
	First   int64
	Next    int64
	// Era counts how often the log was restored from an older copy. Offsets are not comparable between eras.
	Era int64
}

// Read returns up to limit records, starting at offset from. It waits up to wait for the first one. It fails with a
// *ReadError.
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

// retryAfter returns the delay that a reply of the log asked for, or 0.
func retryAfter(err error) time.Duration {
	var refused *platformserver.PlatformErrorStatusCode
	if !errors.As(err, &refused) {
		return 0
	}
	return time.Duration(refused.Response.RetryAfterMillis.Or(0)) * time.Millisecond
}
