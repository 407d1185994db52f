package faker_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/faker"
	"geraniumline/platformserver"
)

func startLog(t *testing.T, cfg faker.LogConfig) (*faker.Log, *platformserver.Client, *faker.ControlClient) {
	l := faker.NewLog(cfg)
	url := serve(t, l.Handler(), l.Close)
	client, err := platformserver.NewClient(url)
	require.NoError(t, err)
	return l, client, faker.NewControlClient(url[len("http://"):])
}

func appendTo(ctx context.Context, client *platformserver.Client, text string) (int64, error) {
	params := platformserver.AppendRecordParams{Stream: "claims"}
	reply, err := client.AppendRecord(ctx, &platformserver.AppendCall{Data: []byte(text)}, params)
	if err != nil {
		return 0, err
	}
	return reply.Offset, nil
}

func readFrom(
	ctx context.Context, client *platformserver.Client, from int64, wait time.Duration,
) (*platformserver.RecordPage, error) {
	return client.ReadRecords(ctx, platformserver.ReadRecordsParams{
		Stream:     "claims",
		From:       from,
		WaitMillis: platformserver.NewOptInt(int(wait.Milliseconds())),
	})
}

func recordTexts(page *platformserver.RecordPage) []string {
	list := []string{}
	for _, record := range page.Records {
		list = append(list, string(record.Data))
	}
	return list
}

func platformCode(t *testing.T, err error) string {
	var failed *platformserver.PlatformErrorStatusCode
	require.ErrorAs(t, err, &failed, "%v", err)
	return failed.Response.Code
}

func TestLogRetention(t *testing.T) {
	scenarios := []struct {
		testName      string
		cfg           faker.LogConfig
		trimBefore    int64
		expectedFirst int64
		expectedTexts []string
	}{
		{"nothing dropped", faker.LogConfig{}, 0, 0, []string{"a", "b", "c", "d"}},
		{"by count", faker.LogConfig{KeepRecords: 2}, 0, 3, []string{"c", "d"}},
		{"by bytes", faker.LogConfig{KeepBytes: 1}, 0, 4, []string{"d"}},
		{"by trim", faker.LogConfig{}, 3, 3, []string{"c", "d"}},
		{"all trimmed", faker.LogConfig{}, 99, 5, []string{}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			ctx := testContext(t)
			_, client, control := startLog(t, s.cfg)
			for i, text := range []string{"a", "b", "c", "d"} {
				offset, err := appendTo(ctx, client, text)
				require.NoError(t, err)
				require.Equal(t, int64(i+1), offset)
			}
			require.NoError(t, control.Trim(ctx, faker.TrimCall{Stream: "claims", Before: s.trimBefore}))
			page, err := readFrom(ctx, client, 0, 0)
			require.NoError(t, err)
			require.Equal(t, s.expectedFirst, page.First)
			require.Equal(t, s.expectedTexts, recordTexts(page))
			require.Equal(t, int64(5), page.Next)
		})
	}
}

// A reader continues from the next offset of each page. With gaps in the offsets and short pages, it must not
// miss a record or read one twice, and a gap must not look like records deleted by retention.
func TestLogOffsetsHaveGaps(t *testing.T) {
	ctx := testContext(t)
	_, client, _ := startLog(t, faker.LogConfig{HoleRate: 0.5, Seed: 7})
	var appended []int64
	for range 20 {
		offset, err := appendTo(ctx, client, "x")
		require.NoError(t, err)
		appended = append(appended, offset)
	}
	require.Greater(t, appended[19], int64(20))
	var read []int64
	for from := int64(0); len(read) < len(appended); {
		page, err := client.ReadRecords(ctx, platformserver.ReadRecordsParams{
			Stream: "claims", From: from, Limit: platformserver.NewOptInt(3),
		})
		require.NoError(t, err)
		require.NotEmpty(t, page.Records)
		require.LessOrEqual(t, page.First, from)
		for _, record := range page.Records {
			read = append(read, record.Offset)
		}
		from = page.Next
	}
	require.Equal(t, appended, read)
}

// The connection of an append is closed without a reply. The record must be in the log exactly once, and the
// next append must get its reply.
func TestLogLosesReplyAfterAppend(t *testing.T) {
	ctx := testContext(t)
	l, client, control := startLog(t, faker.LogConfig{})
	require.NoError(t, control.SetFaults(ctx, faker.LogFaults{LoseReplies: 1}))
	_, err := appendTo(ctx, client, "lost")
	require.Error(t, err)
	offset, err := appendTo(ctx, client, "kept")
	require.NoError(t, err)
	require.Equal(t, int64(2), offset)
	page, err := readFrom(ctx, client, 0, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"lost", "kept"}, recordTexts(page))
	ledger, err := control.LogLedger(ctx)
	require.NoError(t, err)
	require.Equal(t, int64(2), ledger.Appends)
	require.Equal(t, int64(len("lost")+len("kept")), ledger.AppendedBytes)
	require.Equal(t, int64(1), ledger.LostReplies)
	require.Zero(t, l.Faults().LoseReplies)
}

// During an outage, each call fails, immediately or when the hang ends, and nothing is appended.
func TestLogOutage(t *testing.T) {
	scenarios := []struct {
		testName string
		outage   faker.Outage
	}{
		{"fails immediately", faker.OutageFail},
		{"hangs, then fails", faker.OutageHang},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			ctx := testContext(t)
			l, client, _ := startLog(t, faker.LogConfig{Faults: faker.LogFaults{Outage: s.outage}})
			failed := make(chan error, 1)
			go func() {
				_, err := appendTo(ctx, client, "x")
				failed <- err
			}()
			if s.outage == faker.OutageHang {
				l.SetFaults(faker.LogFaults{Outage: faker.OutageHang})
				require.Empty(t, failed)
				l.SetFaults(faker.LogFaults{Outage: faker.OutageFail})
			}
			require.Equal(t, "outage", platformCode(t, <-failed))
			_, err := readFrom(ctx, client, 0, 0)
			require.Equal(t, "outage", platformCode(t, err))
			l.SetFaults(faker.LogFaults{})
			page, err := readFrom(ctx, client, 0, 0)
			require.NoError(t, err)
			require.Empty(t, page.Records)
		})
	}
}

// A reader waits with a timeout as long as that of the test. An append or an outage must end its wait.
func TestLogNotifiesWaitingReader(t *testing.T) {
	scenarios := []struct {
		testName      string
		trigger       func(ctx context.Context, l *faker.Log, client *platformserver.Client) error
		expectedTexts []string
	}{
		{"append", func(ctx context.Context, _ *faker.Log, client *platformserver.Client) error {
			_, err := appendTo(ctx, client, "awaited")
			return err
		}, []string{"awaited"}},
		{"outage", func(_ context.Context, l *faker.Log, _ *platformserver.Client) error {
			l.SetFaults(faker.LogFaults{Outage: faker.OutageFail})
			return nil
		}, nil},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			ctx := testContext(t)
			l, client, _ := startLog(t, faker.LogConfig{})
			readDone := make(chan error, 1)
			var page *platformserver.RecordPage
			go func() {
				var err error
				page, err = readFrom(ctx, client, 1, testTimeout)
				readDone <- err
			}()
			eventually(t, func() bool { return l.Ledger().Reads == 1 })
			require.NoError(t, s.trigger(ctx, l, client))
			err := <-readDone
			if s.expectedTexts == nil {
				require.Equal(t, "outage", platformCode(t, err))
				return
			}
			require.NoError(t, err)
			require.Equal(t, s.expectedTexts, recordTexts(page))
		})
	}
}

// The append of a claim is slow, so that its sender gives up and reports to its caller that nothing ran. The
// record must still be appended afterwards.
func TestLogExecutesSlowAppendAfterCallerDisconnects(t *testing.T) {
	l := faker.NewLog(faker.LogConfig{Faults: faker.LogFaults{SlowAppendMillis: 1}})
	ctx, cancel := context.WithCancel(testContext(t))
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		cancel()
		<-r.Context().Done()
		l.Handler().ServeHTTP(w, r)
	}), l.Close)
	client, err := platformserver.NewClient(url)
	require.NoError(t, err)
	_, err = appendTo(ctx, client, "late")
	require.ErrorIs(t, err, context.Canceled)
	eventually(t, func() bool { return l.Ledger().Appends == 1 })
}

func TestLogLimitsAppends(t *testing.T) {
	ctx := testContext(t)
	_, client, _ := startLog(t, faker.LogConfig{AppendsPerSecond: 0.001, AppendBurst: 1})
	_, err := appendTo(ctx, client, "first")
	require.NoError(t, err)
	_, err = appendTo(ctx, client, "second")
	require.Equal(t, "rateLimited", platformCode(t, err))
	var failed *platformserver.PlatformErrorStatusCode
	require.ErrorAs(t, err, &failed)
	require.Equal(t, http.StatusTooManyRequests, failed.StatusCode)
	require.Positive(t, failed.Response.RetryAfterMillis.Or(0))
}

// A log restored from an older copy lacks the records appended since, and reuses their offsets in a new era.
func TestLogRestoresFromCopy(t *testing.T) {
	l := faker.NewLog(faker.LogConfig{})
	t.Cleanup(l.Close)
	appendOne := func() int64 {
		reply, err := l.AppendRecord(t.Context(), &platformserver.AppendCall{Data: []byte("x")}, platformserver.AppendRecordParams{Stream: "s"})
		require.NoError(t, err)
		return reply.Offset
	}
	for range 4 {
		appendOne()
	}
	// The copy is older than all of these records.
	l.RestoreFromCopy(time.Minute, time.Now())
	require.Equal(t, int64(1), appendOne())
	page, err := l.ReadRecords(t.Context(), platformserver.ReadRecordsParams{Stream: "s", From: 1})
	require.NoError(t, err)
	require.Equal(t, int64(1), page.Era.Value)
	require.Len(t, page.Records, 1)
}
