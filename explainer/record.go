package explainer

import (
	"bytes"
	"encoding/json"
	"time"
)

// Messages of the log lines from which outcomes are counted.
const (
	messageRequestAnswered = "request answered"
	messageEndpointChosen  = "endpoint chosen"
	messageStageDelegated  = "stage delegated"
	messageStageCompleted  = "stage completed"
	messageStageFailed     = "stage failed"
	messageFirstEvent      = "first event"
	messageInterrupted     = "stream interrupted"
	messageRetryRequested  = "retry requested"
	messageEntryStarted    = "started"
	messageLinesDropped    = "log lines dropped by rate limits"
)

// recordHeader holds the fields that every log line has.
type recordHeader struct {
	Time    time.Time `json:"time"`
	Entry   string    `json:"entry"`
	Message string    `json:"msg"`
}

// record is a log line from which outcomes are counted. Durations are in seconds; those that are nil were not logged.
type record struct {
	recordHeader
	Request string `json:"request"`

	// Fields of the line of a request's end.
	Route           string   `json:"route"`
	Account         string   `json:"account"`
	Priority        *int     `json:"priority"`
	Zone            string   `json:"zone"`
	Service         string   `json:"service"`
	Endpoints       []string `json:"endpoints"`
	Status          int      `json:"status"`
	Reason          string   `json:"reason"`
	CallerGone      bool     `json:"callerGone"`
	Sends           int      `json:"sends"`
	Runs            int      `json:"runs"`
	Answered        *int64   `json:"answered"`
	Took            float64  `json:"took"`
	Objective       float64  `json:"objective"`
	EventGap        *float64 `json:"eventGap"`
	FirstSendAfter  *float64 `json:"firstSendAfter"`
	LastSendAfter   *float64 `json:"lastSendAfter"`
	FirstEventAfter *float64 `json:"firstEventAfter"`
	LongestPause    float64  `json:"longestPause"`

	// Fields of the lines before it.
	Stage   int      `json:"stage"`
	Found   bool     `json:"found"`
	Age     *float64 `json:"age"`
	Waits   *float64 `json:"waits"`
	Allowed bool     `json:"allowed"`
	Error   string   `json:"error"`

	// Lines is the number of lines that the entry has left out.
	Lines int64 `json:"lines"`
}

// countedMessages lists the messages of the lines from which outcomes are counted.
var countedMessages = map[string]bool{
	messageRequestAnswered: true,
	messageRequestFailed:   true,
	messageEndpointChosen:  true,
	messageStageDelegated:  true,
	messageStageCompleted:  true,
	messageStageFailed:     true,
	messageFirstEvent:      true,
	messageInterrupted:     true,
	messageRetryRequested:  true,
	messageEntryStarted:    true,
	messageLinesDropped:    true,
}

// parseRecord parses a log line. It reports whether outcomes are counted from it.
func parseRecord(text []byte) (r record, counted bool, err error) {
	object, err := jsonObject(text)
	if err != nil {
		return record{}, false, err
	}
	// The fields of other messages may have other types.
	if !mayBeCounted(object) {
		err := json.Unmarshal(object, &r.recordHeader)
		return record{}, false, err
	}
	if err := json.Unmarshal(object, &r); err != nil {
		return record{}, false, err
	}
	return r, countedMessages[r.Message], nil
}

var messageKey = []byte(`"` + fieldMessage + `"`)

// mayBeCounted reports whether outcomes may be counted from a line, without parsing it.
func mayBeCounted(object []byte) bool {
	_, rest, found := bytes.Cut(object, messageKey)
	if !found {
		return false
	}
	rest = bytes.TrimLeft(rest, ": \t")
	if len(rest) == 0 {
		return false
	}
	message, _, _ := bytes.Cut(rest[1:], []byte{'"'})
	return countedMessages[string(message)]
}

// jsonObject returns the JSON object of a log line, without the text before it.
func jsonObject(text []byte) ([]byte, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return nil, &NoObjectError{}
	}
	return text[start:], nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
