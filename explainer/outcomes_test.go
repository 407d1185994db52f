package explainer

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// logLine returns a log line of an entry, at a number of milliseconds, with further fields in JSON.
func logLine(entry string, millis int, message, fields string) string {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(millis) * time.Millisecond)
	return fmt.Sprintf("{\"level\":\"info\",\"time\":%q,\"msg\":%q,\"entry\":%q,%s}\n", at.Format(time.RFC3339Nano), message, entry, fields)
}

// requestLine returns a log line of entry-a on the request id-1.
func requestLine(millis int, message, fields string) string {
	return logLine("entry-a", millis, message, `"request":"id-1",`+fields)
}

const (
	streamRoute = `"zone":"zone-a","route":"r-stream","account":"acc-1","priority":0,"objective":1,"eventGap":0.2,"service":"engine"`
	plainRoute  = `"zone":"zone-a","route":"r-plain","account":"acc-2","priority":2,"objective":0.3,"service":"plain"`
)

// tally returns the report on logs.
func tally(t *testing.T, cfg TallyConfig, logs ...string) *Outcomes {
	t.Helper()
	tally := NewTally(cfg)
	for _, log := range logs {
		require.NoError(t, tally.Read(strings.NewReader(log)))
	}
	report, err := tally.Report()
	require.NoError(t, err)
	return report
}

// Each scenario is one request that starts at 0 ms.
func TestEachCause(t *testing.T) {
	answered, failed := messageRequestAnswered, messageRequestFailed
	scenarios := []struct {
		testName string
		lines    []string
	}{
		{"on time", []string{
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":1,"runs":1,"firstSendAfter":0.2,"lastSendAfter":0.2,"firstEventAfter":0.9,"longestPause":0.2,"status":200`),
		}},
		{"late at a stage", []string{
			requestLine(0, "stage delegated", `"stage":0,"service":"fetch"`),
			requestLine(0, "stage delegated", `"stage":1,"service":"parse"`),
			requestLine(100, "stage completed", `"stage":1,"zones":["zone-b"]`),
			requestLine(200, "stage completed", `"stage":0,"zones":["zone-b"]`),
			requestLine(200, "stage delegated", `"stage":2,"service":"rank"`),
			requestLine(900, "stage completed", `"stage":2,"zones":["zone-b"]`),
			requestLine(900, "endpoint chosen", `"found":true,"endpoint":"i-1","age":0.4`),
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":1,"runs":1,"firstSendAfter":0.9,"lastSendAfter":0.9,"firstEventAfter":1.2,"status":200`),
		}},
		{"late at a stage that was delegated again", []string{
			requestLine(0, "stage delegated", `"stage":0,"service":"fetch"`),
			requestLine(400, "stage completed", `"stage":0,"zones":["zone-b"]`),
			requestLine(400, "stage delegated", `"stage":1,"service":"rank"`),
			requestLine(450, "stage delegated", `"stage":0,"service":"fetch"`),
			requestLine(800, "stage completed", `"stage":0,"zones":["zone-b"]`),
			requestLine(800, "stage delegated", `"stage":1,"service":"rank"`),
			requestLine(900, "stage completed", `"stage":1,"zones":["zone-b"]`),
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":1,"runs":1,"firstSendAfter":0.9,"lastSendAfter":0.9,"firstEventAfter":1.2,"status":200`),
		}},
		{"late at a stage, its lines missing", []string{
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":1,"runs":1,"firstSendAfter":0.9,"lastSendAfter":0.9,"firstEventAfter":1.2,"status":200`),
		}},
		{"late at the model engine", []string{
			requestLine(100, "endpoint chosen", `"found":true,"endpoint":"i-1","age":0.4`),
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":1,"runs":1,"firstSendAfter":0.1,"lastSendAfter":0.1,"firstEventAfter":1.2,"status":200`),
		}},
		{"late at several steps", []string{
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":2,"runs":2,"firstSendAfter":0.4,"lastSendAfter":0.7,"firstEventAfter":1.1,"status":200`),
		}},
		{"late at the endpoint of a plain call", []string{
			requestLine(500, answered, plainRoute+`,"took":0.5,"sends":1,"runs":1,"firstSendAfter":0.001,"lastSendAfter":0.001,"status":200`),
		}},
		{"late after a failed try of a plain call", []string{
			requestLine(400, "retry requested", `"allowed":true,"sends":1,"runs":1`),
			requestLine(500, answered, plainRoute+`,"took":0.5,"sends":2,"runs":2,"firstSendAfter":0.001,"lastSendAfter":0.4,"status":200`),
		}},
		{"late after rejections", []string{
			requestLine(500, answered, plainRoute+`,"took":0.5,"sends":3,"runs":1,"firstSendAfter":0.001,"lastSendAfter":0.4,"status":200`),
		}},
		{"late after an unreachable endpoint of a plain call", []string{
			requestLine(500, answered, plainRoute+`,"endpoints":["i-1","i-2"],"took":0.5,"sends":1,"runs":1,"firstSendAfter":0.001,"lastSendAfter":0.4,"status":200`),
		}},
		{"late after a silent endpoint", []string{
			requestLine(1100, "stream interrupted", `"callerGone":false,"error":"exchange with 10.0.0.1:80: context canceled"`),
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":2,"runs":2,"firstSendAfter":0.1,"lastSendAfter":1.1,"firstEventAfter":1.3,"status":200`),
		}},
		{"late after a silent endpoint that was left once another had the request", []string{
			requestLine(1250, "stream interrupted", `"callerGone":false,"error":"exchange with 10.0.0.1:80: context canceled"`),
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":2,"runs":2,"firstSendAfter":0.1,"lastSendAfter":1.1,"firstEventAfter":1.3,"status":200`),
		}},
		{"late after a lost endpoint", []string{
			requestLine(200, "stream interrupted", `"callerGone":false,"error":"connect to 10.0.0.1:80: dial tcp 10.0.0.1:80: connect: connection refused"`),
			requestLine(1100, "stream interrupted", `"callerGone":false,"error":"exchange with 10.0.0.1:80: unexpected EOF"`),
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":2,"runs":2,"firstSendAfter":0.1,"lastSendAfter":1.1,"firstEventAfter":1.3,"status":200`),
		}},
		{"late after an unreachable endpoint", []string{
			requestLine(100, "endpoint chosen", `"found":true,"endpoint":"i-1","age":2.5`),
			requestLine(1100, "stream interrupted", `"callerGone":false,"error":"connect to 10.0.0.1:80: i/o timeout"`),
			requestLine(1100, "endpoint chosen", `"found":true,"endpoint":"i-2","age":3.5`),
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":1,"runs":1,"firstSendAfter":0.1,"lastSendAfter":1.1,"firstEventAfter":1.3,"status":200`),
		}},
		{"pause between events", []string{
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":1,"runs":1,"firstSendAfter":0.1,"lastSendAfter":0.1,"firstEventAfter":0.3,"longestPause":0.21,"status":200`),
		}},
		{"pause after a silent endpoint", []string{
			requestLine(1400, "stream interrupted", `"callerGone":false,"error":"exchange with 10.0.0.1:80: context canceled"`),
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":2,"runs":2,"firstSendAfter":0.1,"lastSendAfter":0.1,"firstEventAfter":0.3,"longestPause":1.1,"status":200`),
		}},
		{"pause after an interruption before the first event", []string{
			requestLine(200, "stream interrupted", `"callerGone":false,"error":"exchange with 10.0.0.1:80: EOF"`),
			requestLine(1900, answered, streamRoute+`,"took":1.9,"sends":2,"runs":2,"firstSendAfter":0.1,"lastSendAfter":0.2,"firstEventAfter":0.3,"longestPause":0.21,"status":200`),
		}},
		{"late by a log without the steps", []string{
			requestLine(500, answered, `"route":"r-plain","objective":0.3,"took":0.5,"sends":1,"runs":1,"status":200`),
		}},
		{"log without an objective", []string{
			requestLine(500, answered, `"route":"r-plain","took":0.5,"sends":1,"runs":1,"status":200`),
		}},
		{"refused at the door", []string{
			requestLine(1, failed, streamRoute+`,"took":0.001,"sends":0,"runs":0,"status":503,"reason":"overload"`),
		}},
		{"refused at the door as all endpoints asked for rest", []string{
			requestLine(1, failed, streamRoute+`,"took":0.001,"sends":0,"runs":0,"status":503,"reason":"endpointsHeldBack"`),
		}},
		{"all endpoints asked for rest while its stages ran", []string{
			requestLine(0, "stage delegated", `"stage":0,"service":"fetch"`),
			requestLine(400, failed, streamRoute+`,"took":0.4,"sends":0,"runs":0,"status":503,"reason":"endpointsHeldBack"`),
		}},
		{"the last endpoint rejected it and all others asked for rest", []string{
			requestLine(1, failed, plainRoute+`,"endpoints":["i-1"],"took":0.001,"sends":1,"runs":0,"status":503,"reason":"endpointsHeldBack"`),
		}},
		{"refused in a pool", []string{
			requestLine(0, "stage delegated", `"stage":0,"service":"fetch"`),
			requestLine(900, "stage failed", `"stage":0,"service":"fetch","reason":"late","waits":0.7`),
			requestLine(900, failed, streamRoute+`,"took":0.9,"sends":0,"runs":0,"status":503,"reason":"stagelate"`),
		}},
		{"result of a stage expired", []string{
			requestLine(0, "stage delegated", `"stage":0,"service":"fetch"`),
			requestLine(900, failed, streamRoute+`,"took":0.9,"sends":1,"runs":0,"status":503,"reason":"stageResultGone"`),
		}},
		{"deadline passed at a stage", []string{
			requestLine(0, "stage delegated", `"stage":0,"service":"fetch"`),
			requestLine(900, failed, streamRoute+`,"took":0.9,"sends":0,"runs":0,"status":503,"reason":"stagesTimedOut"`),
		}},
		{"retry denied after silence", []string{
			requestLine(800, "stream interrupted", `"callerGone":false,"error":"exchange with 10.0.0.1:80: context canceled"`),
			requestLine(800, "retry requested", `"allowed":false,"sends":1,"runs":1`),
			requestLine(900, failed, streamRoute+`,"took":0.9,"sends":1,"runs":1,"status":502,"reason":"noEndpointTook"`),
		}},
		{"retry denied after a rejection", []string{
			requestLine(800, "retry requested", `"allowed":false,"sends":1,"runs":0`),
			requestLine(900, failed, streamRoute+`,"took":0.9,"sends":1,"runs":0,"status":503,"reason":"noEndpointTook"`),
		}},
		{"retry denied after an answer with an error", []string{
			requestLine(100, "retry requested", `"allowed":false,"sends":1,"runs":1`),
			requestLine(100, failed, plainRoute+`,"took":0.1,"sends":1,"runs":1,"status":502,"reason":"noEndpointTook"`),
		}},
		{"rejected by endpoints", []string{
			requestLine(800, "retry requested", `"allowed":true,"sends":1,"runs":0`),
			requestLine(900, failed, streamRoute+`,"took":0.9,"sends":4,"runs":0,"status":503,"reason":"noEndpointTook"`),
		}},
		{"no endpoint in use", []string{
			requestLine(10, "endpoint chosen", `"found":false,"age":4.2`),
			requestLine(10, failed, plainRoute+`,"took":0.01,"sends":0,"runs":0,"status":503,"reason":"noEndpoint"`),
		}},
		{"no endpoint left after an unreachable one", []string{
			requestLine(10, failed, plainRoute+`,"endpoints":["i-1"],"took":0.01,"sends":0,"runs":0,"status":503,"reason":"noEndpoint"`),
		}},
		{"endpoint lost", []string{
			requestLine(900, failed, plainRoute+`,"took":0.9,"sends":1,"runs":1,"status":502,"reason":"endpointBroke","firstSendAfter":0,"lastSendAfter":0`),
		}},
		{"deadline passed at a plain endpoint", []string{
			requestLine(900, failed, plainRoute+`,"took":0.9,"sends":1,"runs":1,"status":504,"reason":"timeout","firstSendAfter":0,"lastSendAfter":0`),
		}},
		{"deadline passed in a stream", []string{
			requestLine(900, failed, streamRoute+`,"took":0.9,"sends":1,"runs":1,"status":504,"reason":"timeout","firstSendAfter":0,"lastSendAfter":0,"firstEventAfter":0.5`),
		}},
		{"deadline passed while connecting", []string{
			requestLine(900, failed, plainRoute+`,"took":0.9,"sends":0,"runs":0,"status":503,"reason":"timeout","firstSendAfter":0,"lastSendAfter":0`),
		}},
		{"error of the endpoint", []string{
			requestLine(100, answered, plainRoute+`,"took":0.1,"sends":1,"runs":1,"status":500`),
		}},
		{"entry stops", []string{
			requestLine(100, failed, streamRoute+`,"took":0.1,"sends":0,"runs":0,"status":503,"reason":"entryStops"`),
		}},
		{"caller left at a stage", []string{
			requestLine(0, "stage delegated", `"stage":0,"service":"fetch"`),
			requestLine(900, failed, streamRoute+`,"took":0.9,"sends":0,"runs":0,"status":503,"reason":"stagesTimedOut","callerGone":true`),
		}},
		{"caller left at the model engine", []string{
			requestLine(900, failed, streamRoute+`,"took":0.9,"sends":1,"runs":0,"status":502,"reason":"callerGone","callerGone":true,"firstSendAfter":0,"lastSendAfter":0`),
		}},
		{"caller left in the stream", []string{
			requestLine(100, "first event", `"endpoint":"i-1","modelTook":0.1`),
			requestLine(900, failed, `"route":"r-stream","took":0.9,"sends":1,"runs":0,"status":502,"reason":"callerGone","callerGone":true`),
		}},
		{"no route", []string{
			requestLine(1, failed, `"took":0.001,"sends":0,"runs":0,"status":404,"reason":"noRoute"`),
		}},
		{"unknown reason after a send", []string{
			requestLine(1, failed, plainRoute+`,"took":0.001,"sends":1,"runs":1,"status":502,"reason":"brandNew"`),
		}},
	}
	var b strings.Builder
	var seen []Step
	for _, s := range scenarios {
		report := tally(t, TallyConfig{By: ByRoute}, s.lines...)
		require.Len(t, report.Groups, 1, s.testName)
		require.Equal(t, 1, report.Requests, s.testName)
		require.Zero(t, report.Unended, s.testName)
		require.Zero(t, report.UnreadableLines, s.testName)
		for _, d := range report.Groups[0].Decisions {
			seen = append(seen, d.Step)
		}
		var shown any = report.Groups[0].Decisions
		if len(report.Groups[0].Decisions) == 0 {
			shown = report.Total
		}
		text, err := json.Marshal(shown)
		require.NoError(t, err)
		fmt.Fprintf(&b, "%s\n  %s\n", s.testName, text)
	}
	goldie.New(t).Assert(t, "causes", []byte(b.String()))
	for step := range steps {
		require.Contains(t, seen, step, "no scenario has this step")
	}
}

// Each reason of a failure must stand for a step, or its requests would be counted as unknown.
func TestEachReasonHasAStep(t *testing.T) {
	for _, reason := range Reasons() {
		o := &openRequest{}
		v := o.judge(&record{recordHeader: recordHeader{Message: messageRequestFailed}, Status: 503, Reason: reason})
		require.NotEqual(t, StepUnknown, v.step, reason)
		require.NotEmpty(t, v.step.Explain(), reason)
	}
}

// mixedLogs returns the logs of two entries.
func mixedLogs() (a, b string) {
	a = logLine("entry-a", 0, "started", `"callers":"10.0.0.1:80"`) +
		logLine("entry-a", 100, "endpoint chosen", `"request":"id-1","found":true,"endpoint":"i-1","age":0.2`) +
		logLine("entry-a", 1100, "request answered", `"request":"id-1","endpoints":["i-1"],"took":1.1,"sends":1,"runs":1,"firstSendAfter":0.1,"lastSendAfter":0.1,"firstEventAfter":1.05,"status":200,"answered":1,`+streamRoute) +
		logLine("entry-a", 1200, "request answered", `"request":"id-2","endpoints":["i-2"],"took":0.3,"sends":1,"runs":1,"firstSendAfter":0,"lastSendAfter":0,"firstEventAfter":0.1,"status":200,"answered":4,`+streamRoute) +
		logLine("entry-a", 1250, "log lines dropped by rate limits", `"lines":9`) +
		logLine("entry-a", 1300, "stage delegated", `"request":"id-3","stage":0,"service":"fetch"`)
	b = logLine("entry-b", 50, "stage delegated", `"request":"id-1","stage":0,"service":"fetch"`) +
		logLine("entry-b", 60, "stage failed", `"request":"id-1","stage":0,"service":"fetch","reason":"overload","waits":2.5`) +
		logLine("entry-b", 70, "request failed", `"request":"id-1","took":0.02,"sends":0,"runs":0,"status":503,"reason":"stageoverload","answered":7,`+strings.Replace(streamRoute, "zone-a", "zone-b", 1)) +
		logLine("entry-b", 12000, "request answered", `"request":"id-4","endpoints":["i-3"],"took":0.1,"sends":1,"runs":1,"firstSendAfter":0,"lastSendAfter":0,"status":200,"answered":8,`+strings.Replace(plainRoute, "zone-a", "zone-b", 1))
	return a, b
}

func TestTables(t *testing.T) {
	a, b := mixedLogs()
	for _, by := range Groupings() {
		t.Run(string(by), func(t *testing.T) {
			report := tally(t, TallyConfig{By: by, Interval: 10 * time.Second}, a, b)
			var text strings.Builder
			require.NoError(t, report.Write(&text, 0))
			goldie.New(t).Assert(t, "outcomes-"+string(by), []byte(text.String()))
		})
	}
	report := tally(t, TallyConfig{By: ByRoute}, a, b)
	object, err := json.MarshalIndent(report, "", "  ")
	require.NoError(t, err)
	goldie.New(t).Assert(t, "outcomes-json", append(object, '\n'))
	var text strings.Builder
	require.NoError(t, report.Write(&text, 1))
	goldie.New(t).Assert(t, "outcomes-rows", []byte(text.String()))
}

// Logs of entries arrive interleaved and not by time. A request that came back to another entry has the same ID there.
func TestOrderOfEntriesDoesNotMatter(t *testing.T) {
	a, b := mixedLogs()
	want := tally(t, TallyConfig{By: ByRoute}, a, b)
	require.Equal(t, want, tally(t, TallyConfig{By: ByRoute}, b+a))
	linesA, linesB := strings.SplitAfter(a, "\n"), strings.SplitAfter(b, "\n")
	var merged []string
	for len(linesA)+len(linesB) > 0 {
		n := min(2, len(linesB))
		merged = append(merged, linesB[:n]...)
		linesB = linesB[n:]
		n = min(1, len(linesA))
		merged = append(merged, linesA[:n]...)
		linesA = linesA[n:]
	}
	require.Equal(t, want, tally(t, TallyConfig{By: ByRoute}, strings.Join(merged, "")))
}

// A log that was cut, mixed with other output, or has lines in foreign formats must not stop the report, nor be passed
// over in silence.
func TestUnreadableLinesAreCounted(t *testing.T) {
	a, b := mixedLogs()
	want := tally(t, TallyConfig{By: ByRoute}, a, b)
	got := tally(t, TallyConfig{By: ByRoute},
		"no JSON here\n\n", a,
		b[:40]+"\n",
		`{"level":"info","time":1767225600,"msg":"request answered"}`+"\n",
		`{"level":"info","time":"2026-01-01T00:00:00Z","msg":"request answered","request":7}`+"\n",
		`{"level":"info","time":"2026-01-01T00:00:00Z","msg":"request failed","text":"`+strings.Repeat("x", 3*maxLine)+`"}`+"\n",
		"collector{1}: "+strings.Repeat("y", 2*maxLine)+"\n",
		`{"time":"2026-01-01T00:00:00Z","entry":"entry-a","msg":"store answers again","endpoints":3}`+"\n",
		"host-1 12:00 "+strings.TrimSuffix(b, "\n"))
	want.Lines += 7
	want.UnreadableLines = 6
	require.Equal(t, want, got)
}

// A rate limit leaves out lines of answered requests. The report must say how many, and keep what it can't see out of
// its counts, also over restarts of an entry.
func TestShareOfAnsweredRequests(t *testing.T) {
	answered := func(n int) string {
		return logLine("entry-a", n, messageRequestAnswered, fmt.Sprintf(`"request":"id-%d","took":0.1,"status":200,"answered":%d,%s`, n, n, plainRoute))
	}
	failed := func(n int) string {
		return logLine("entry-a", n, messageRequestFailed, fmt.Sprintf(`"request":"id-%d","took":0.1,"status":503,"reason":"overload","answered":%d,%s`, n, n, plainRoute))
	}
	started := logLine("entry-a", 0, messageEntryStarted, `"callers":"10.0.0.1:80"`)
	uncounted := logLine("entry-a", 0, messageRequestAnswered, `"request":"id-0","took":0.1,"status":200,`+plainRoute)
	scenarios := []struct {
		testName  string
		log       string
		seen, all int64
	}{
		{"no line missing", answered(5) + answered(6) + answered(7), 3, 3},
		{"lines missing between", answered(5) + answered(9), 2, 5},
		{"lines missing before a failure", answered(5) + failed(9), 1, 5},
		{"lines missing after a failure", failed(5) + answered(9), 1, 4},
		{"lines missing after the start", started + answered(5), 1, 5},
		{"restart", answered(5) + answered(9) + started + answered(2) + answered(4), 4, 9},
		{"concurrent requests", answered(6) + answered(5) + answered(7), 3, 3},
		{"no answer", failed(5), 0, 0},
		{"an entry does not count", answered(5) + uncounted, 2, -1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			report := tally(t, TallyConfig{By: ByRoute}, s.log)
			require.Equal(t, s.seen, report.AnsweredSeen)
			if s.all < 0 {
				require.Nil(t, report.Answered)
				return
			}
			require.Equal(t, new(s.all), report.Answered)
		})
	}
}

// Requests whose end was left out of a log of any length must not take all memory.
func TestOpenRequestsAreBounded(t *testing.T) {
	tally := NewTally(TallyConfig{By: ByRoute})
	for i := range maxOpen + 100 {
		tally.addRecord(&record{recordHeader: recordHeader{Entry: "entry-a", Message: messageStageDelegated}, Request: fmt.Sprint("id-", i)})
	}
	require.Len(t, tally.open, maxOpen)
	require.Equal(t, maxOpen, tally.oldest.Len())
	report, err := tally.Report()
	require.NoError(t, err)
	require.Equal(t, maxOpen+100, report.Unended)
	require.NotContains(t, tally.open, requestKey{"entry-a", "id-99"})
	require.Contains(t, tally.open, requestKey{"entry-a", "id-100"})
}

// A request's state is dropped at its end: the same ID may come back.
func TestStateIsDroppedAtTheEnd(t *testing.T) {
	end := `"took":0.9,"sends":1,"runs":1,"status":502,"reason":"noEndpointTook",` + streamRoute
	denied := requestLine(100, messageRetryRequested, `"allowed":false`)
	report := tally(t, TallyConfig{By: ByRoute}, denied+requestLine(100, messageRequestFailed, end)+requestLine(200, messageRequestFailed, end))
	require.Zero(t, report.Unended)
	require.Len(t, report.Groups[0].Decisions, 2)
}

func TestUnreadableInput(t *testing.T) {
	tally := NewTally(TallyConfig{By: ByRoute})
	require.NoError(t, tally.Read(strings.NewReader("a\nb\n")))
	_, err := tally.Report()
	var notALog *NotALogError
	require.ErrorAs(t, err, &notALog)
	require.Equal(t, 2, notALog.Lines)

	a, _ := mixedLogs()
	broken := errors.New("broken disk")
	err = tally.Read(io.MultiReader(strings.NewReader(a), iotest.ErrReader(broken)))
	var failed *LogReadError
	require.ErrorAs(t, err, &failed)
	require.ErrorIs(t, err, broken)
	require.Equal(t, 2+strings.Count(a, "\n"), failed.Lines)
}

// Scanners without a key must not push the causes that the operator can mend out of the table.
func TestInvalidRequestsComeLast(t *testing.T) {
	invalid := logLine("entry-a", 1, messageRequestFailed, `"request":"","status":404,"reason":"noRoute"`)
	refused := logLine("entry-a", 2, messageRequestFailed, `"request":"id-1","status":503,"reason":"overload","route":"r-1"`)
	var text strings.Builder
	require.NoError(t, tally(t, TallyConfig{By: ByRoute}, strings.Repeat(invalid, 5)+refused).Write(&text, 1))
	require.Contains(t, text.String(), "overload")
	require.NotContains(t, text.String(), "noRoute")
}

func TestEmptyLog(t *testing.T) {
	var text strings.Builder
	require.NoError(t, tally(t, TallyConfig{By: ByRoute}).Write(&text, 0))
	goldie.New(t).Assert(t, "outcomes-empty", []byte(text.String()))
}

// Names from logs must not control the terminal or break the table.
func TestNamesArePrintable(t *testing.T) {
	log := logLine("entry-a", 1, messageRequestFailed, `"request":"id-1","status":503,"reason":"over\tload","route":"r-\u001b[31m"`)
	var text strings.Builder
	require.NoError(t, tally(t, TallyConfig{By: ByRoute}, log).Write(&text, 0))
	require.Contains(t, text.String(), "r-?[31m")
	require.Contains(t, text.String(), "over?load")
}

// Messages that the forwarder no longer logs would silently be missing from the counts, and so would renamed fields.
func TestCountedMessagesExist(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "forwarder", "*.go"))
	require.NoError(t, err)
	files = append(files, filepath.Join("..", "assembler", "forwarding.go"))
	var sources strings.Builder
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		sources.Write(text)
	}
	text, err := os.ReadFile("record.go")
	require.NoError(t, err)
	pattern := regexp.MustCompile(`json:"([A-Za-z]+)"`)
	for _, m := range pattern.FindAllStringSubmatch(string(text), -1) {
		if name := m[1]; !slices.Contains([]string{fieldTime, fieldMessage, fieldEntry}, name) {
			require.Contains(t, sources.String(), `"`+name+`"`)
		}
	}
	for message := range countedMessages {
		require.Contains(t, sources.String(), `"`+message+`"`)
	}
}
