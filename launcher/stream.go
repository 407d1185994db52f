package launcher

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strings"

	"geraniumline/callerserver"
)

// maxEventBytes bounds one server-sent event; the last holds the whole answer.
const maxEventBytes = 4 << 20

// streamedHeader marks a streamed answer between streamClient and its reader.
const streamedHeader = "X-Geraniumline-Streamed"

// streamClient lets the generated client hand out streamed answers. That client knows the raw answer
// under the media type application/json only, and would refuse server-sent events.
//
// It also keeps net/http from trying by itself: on a broken connection that library sends a request with
// an Idempotency-Key header again, unseen, while here each try is counted and goes to another entry.
type streamClient struct {
	*http.Client
}

// Do sends a request.
func (c streamClient) Do(r *http.Request) (*http.Response, error) {
	r.GetBody = nil // without it net/http can't send the body a second time
	response, err := c.Client.Do(r)
	if err != nil {
		return nil, err
	}
	response.Header.Del(streamedHeader)
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if media == "text/event-stream" {
		response.Header.Set(streamedHeader, "true")
		response.Header.Set("Content-Type", "application/json")
	}
	return response, nil
}

// StreamFailureError tells of a failure after the first part of a streamed answer.
type StreamFailureError struct {
	Failure callerserver.Failure
}

func (e *StreamFailureError) Error() string {
	return e.Failure.Code + ": " + e.Failure.Message
}

// errStreamCut tells of a stream without its last event.
var errStreamCut = errors.New("the stream ended before the whole answer")

// readStream reads server-sent events until the one with the whole answer.
func readStream(r io.Reader, part func(string)) (*callerserver.Answer, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	var name string
	var data strings.Builder
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "":
			answer, err := takeEvent(name, data.String(), part)
			if answer != nil || err != nil {
				return answer, err
			}
			name = ""
			data.Reset()
		case strings.HasPrefix(line, "event: "):
			name = line[len("event: "):]
		case strings.HasPrefix(line, "data: "):
			data.WriteString(line[len("data: "):])
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read the stream: %w", err)
	}
	return nil, errStreamCut
}

// takeEvent returns the whole answer once it has come.
func takeEvent(name, data string, part func(string)) (*callerserver.Answer, error) {
	switch name {
	case "part":
		var p struct {
			Text string `json:"text"`
		}
		if err := json.Unmarshal([]byte(data), &p); err != nil {
			return nil, fmt.Errorf("read a part: %w", err)
		}
		part(p.Text)
		return nil, nil
	case "answer":
		var answer callerserver.Answer
		if err := json.Unmarshal([]byte(data), &answer); err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		return &answer, nil
	case "failure":
		var failure callerserver.Failure
		if err := json.Unmarshal([]byte(data), &failure); err != nil {
			return nil, fmt.Errorf("read the failure: %w", err)
		}
		return nil, &StreamFailureError{Failure: failure}
	}
	return nil, nil
}
