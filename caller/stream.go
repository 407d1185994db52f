package caller

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"geraniumline/callerserver"
)

// maxEventBytes bounds one server-sent event; the last one contains the complete answer.
const maxEventBytes = 4 << 20

// errStreamTruncated is returned for a stream that ends without its last event.
var errStreamTruncated = errors.New("the stream ended before the whole answer")

// readStream reads server-sent events until the one with the complete answer, and passes the parts to onPart.
func readStream(r io.Reader, onPart func(string)) (*callerserver.Answer, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	var name string
	var data strings.Builder
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "":
			answer, err := handleEvent(name, data.String(), onPart)
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
	return nil, errStreamTruncated
}

// handleEvent returns the answer of an answer event, an error for a failure event, and nil for any other event.
func handleEvent(name, data string, onPart func(string)) (*callerserver.Answer, error) {
	switch name {
	case "part":
		return nil, handlePart(data, onPart)
	case "answer":
		var answer callerserver.Answer
		if err := json.Unmarshal([]byte(data), &answer); err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		return &answer, nil
	case "failure":
		// The HTTP status was sent before the first part, so it doesn't reflect the failure.
		return nil, parseFailure(http.StatusOK, []byte(data))
	}
	return nil, nil
}

func handlePart(data string, onPart func(string)) error {
	var part struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal([]byte(data), &part); err != nil {
		return fmt.Errorf("read a part: %w", err)
	}
	if onPart != nil {
		onPart(part.Text)
	}
	return nil
}
