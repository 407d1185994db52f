package appender

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"geraniumline/platformserver"
	"geraniumline/recorder"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeLog is a log with one stream that can return errors.
type fakeLog struct {
	platformserver.UnimplementedHandler
	mu      sync.Mutex
	records []platformserver.LogRecord
	// status is the HTTP status of failing calls; failures is how many of the next calls fail.
	status   int
	failures int
	// era is returned with each page.
	era int64
	// waits are the wait times in milliseconds that reads have requested.
	waits []int
	// beforeReply is called after an append has taken effect and before its reply.
	beforeReply func()
}

func (l *fakeLog) fail() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures == 0 {
		return nil
	}
	l.failures--
	reply := platformserver.PlatformError{Code: "fails", Message: "injected failure"}
	reply.RetryAfterMillis.SetTo(7)
	return &platformserver.PlatformErrorStatusCode{StatusCode: l.status, Response: reply}
}

func (l *fakeLog) AppendRecord(_ context.Context, call *platformserver.AppendCall, _ platformserver.AppendRecordParams) (*platformserver.AppendReply, error) {
	if err := l.fail(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	offset := int64(3 * (len(l.records) + 1))
	l.records = append(l.records, platformserver.LogRecord{Offset: offset, AtMillis: offset, Data: call.Data})
	l.mu.Unlock()
	if l.beforeReply != nil {
		l.beforeReply()
	}
	return &platformserver.AppendReply{Offset: offset}, nil
}

func (l *fakeLog) ReadRecords(_ context.Context, p platformserver.ReadRecordsParams) (*platformserver.RecordPage, error) {
	l.mu.Lock()
	l.waits = append(l.waits, p.WaitMillis.Or(0))
	l.mu.Unlock()
	if err := l.fail(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	page := &platformserver.RecordPage{Records: []platformserver.LogRecord{}, First: 3, Next: p.From}
	page.Era.SetTo(l.era)
	for _, r := range l.records {
		if r.Offset >= p.From && len(page.Records) < p.Limit.Or(1) {
			page.Records = append(page.Records, r)
			page.Next = r.Offset + 1
		}
	}
	return page, nil
}

func (l *fakeLog) NewError(_ context.Context, err error) *platformserver.PlatformErrorStatusCode {
	var known *platformserver.PlatformErrorStatusCode
	if errors.As(err, &known) {
		return known
	}
	return &platformserver.PlatformErrorStatusCode{StatusCode: http.StatusInternalServerError}
}

func (l *fakeLog) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// serve starts the log on loopback and returns an appender for it.
func serve(t *testing.T, l *fakeLog) (*Appender, *httptest.Server) {
	t.Helper()
	handler, err := platformserver.NewServer(l)
	require.NoError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newAppender(t, server.URL), server
}

func newAppender(t *testing.T, url string) *Appender {
	t.Helper()
	a, err := New(Config{
		URL:        url,
		PollWait:   time.Millisecond,
		MinBackoff: time.Millisecond,
	})
	require.NoError(t, err)
	t.Cleanup(a.Close)
	return a
}

func TestAppendAndRead(t *testing.T) {
	a, _ := serve(t, &fakeLog{})
	for i, want := range []int64{3, 6} {
		offset, err := a.Append(t.Context(), "claims", []byte{byte(i), 0xff})
		require.NoError(t, err)
		require.Equal(t, want, offset)
	}
	page, err := a.Read(t.Context(), "claims", 4, 10, time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, Page{Records: []recorder.Record{{Offset: 6, AtMillis: 6, Data: []byte{1, 0xff}}}, First: 3, Next: 7}, page)
}

// A refused append lets the entry report "not run" to the caller, which would be wrong if the record had been appended.
// So an error must count as a refusal only if it proves that nothing was appended.
func TestAppendErrors(t *testing.T) {
	scenarios := []struct {
		testName string
		status   int
		refused  bool
	}{
		{"too many appends", http.StatusTooManyRequests, true},
		{"bad call", http.StatusBadRequest, true},
		{"too large", http.StatusRequestEntityTooLarge, true},
		{"server error", http.StatusInternalServerError, false},
		{"unavailable", http.StatusServiceUnavailable, false},
		{"gateway timeout", http.StatusGatewayTimeout, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			a, _ := serve(t, &fakeLog{status: s.status, failures: 1})
			_, err := a.Append(t.Context(), "claims", []byte("x"))
			var refused *RefusedError
			var uncertain *UncertainError
			require.Equal(t, s.refused, errors.As(err, &refused))
			require.Equal(t, !s.refused, errors.As(err, &uncertain))
			if s.refused {
				require.Equal(t, 7*time.Millisecond, refused.RetryAfter)
			}
		})
	}
}

// The log appends the record, but its reply is lost with the connection. The error must not count as a refusal, since the
// record is in the log.
func TestALostReplyIsUncertain(t *testing.T) {
	l := &fakeLog{}
	a, server := serve(t, l)
	l.beforeReply = func() { server.CloseClientConnections() }
	_, err := a.Append(t.Context(), "claims", []byte("x"))
	var uncertain *UncertainError
	require.ErrorAs(t, err, &uncertain, "%v", err)
	require.Equal(t, 1, l.len())
}

// The log appends the record and then stalls for longer than the entry waits. The error must not count as a refusal.
func TestAStalledReplyIsUncertain(t *testing.T) {
	l := &fakeLog{}
	a, _ := serve(t, l)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	l.beforeReply = func() { cancel(); <-done }
	_, err := a.Append(ctx, "claims", []byte("x"))
	close(done)
	var uncertain *UncertainError
	require.ErrorAs(t, err, &uncertain, "%v", err)
	require.Equal(t, 1, l.len())
}

// Nothing listens at the log's address, so no byte of the append was sent. The error must count as a refusal.
func TestARefusedConnectionIsARefusal(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = newAppender(t, "http://"+address).Append(t.Context(), "claims", []byte("x"))
	var refused *RefusedError
	require.ErrorAs(t, err, &refused, "%v", err)
}

// The log fails for a while in the middle of a stream. Tail must report each failure and the recovery once, and must
// deliver each record exactly once.
func TestTailRecoversFromFailures(t *testing.T) {
	l := &fakeLog{status: http.StatusServiceUnavailable}
	a, _ := serve(t, l)
	for range 5 {
		_, err := a.Append(t.Context(), "claims", []byte("x"))
		require.NoError(t, err)
	}
	a.cfg.PageRecords = 2
	ctx, cancel := context.WithCancel(t.Context())
	var offsets []int64
	var failed, recovered int
	a.Tail(ctx, "claims", 0, func(p Page) {
		for _, r := range p.Records {
			offsets = append(offsets, r.Offset)
		}
		switch {
		case len(offsets) == 4 && failed == 0:
			l.mu.Lock()
			l.failures = 3
			l.mu.Unlock()
		case len(offsets) == 5:
			cancel()
		}
	}, func(err error) {
		if err != nil {
			var read *ReadError
			require.ErrorAs(t, err, &read)
			failed++
			return
		}
		recovered++
	})
	require.Equal(t, []int64{3, 6, 9, 12, 15}, offsets)
	require.Equal(t, 3, failed)
	require.Equal(t, 1, recovered)
}

// Guards against a read that hangs for the whole poll wait after the log has recovered.
func TestReadsAfterAFailureDoNotWait(t *testing.T) {
	l := &fakeLog{status: http.StatusServiceUnavailable, failures: 2}
	a, _ := serve(t, l)
	ctx, cancel := context.WithCancel(t.Context())
	pages := 0
	a.Tail(ctx, "claims", 0, func(Page) {
		if pages++; pages == 2 {
			cancel()
		}
	}, func(error) {})
	require.Equal(t, []int{1, 0, 0, 1}, l.waits)
}

// Guards against skipping records of a new era because their offsets were already read in the previous era.
func TestTailRereadsTheStreamInANewEra(t *testing.T) {
	l := &fakeLog{}
	a, _ := serve(t, l)
	for range 3 {
		_, err := a.Append(t.Context(), "claims", []byte("old"))
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var offsets []int64
	var eras []int64
	stale := 0
	a.Tail(ctx, "claims", 0, func(p Page) {
		for _, r := range p.Records {
			offsets = append(offsets, r.Offset)
			eras = append(eras, p.Era)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case len(offsets) == 3:
			l.records = l.records[:1]
			l.records = append(l.records, platformserver.LogRecord{Offset: 6, AtMillis: 6, Data: []byte("new")})
			l.era = 1
		case len(offsets) == 5 && l.era == 1:
			// A late reply of the previous era.
			l.era = 0
		}
	}, func(err error) {
		var old *StaleEraError
		if errors.As(err, &old) {
			stale++
			cancel()
		}
	})
	require.Equal(t, []int64{3, 6, 9, 3, 6}, offsets)
	require.Equal(t, []int64{0, 0, 0, 1, 1}, eras)
	require.Equal(t, 1, stale)
}
