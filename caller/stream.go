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

// maxEventBytes bounds one server-sent event; the last holds the whole answer.
const maxEventBytes = 4 << 20

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

// takeEvent returns the whole answer once it has come, and nil for any other event.
func takeEvent(name, data string, part func(string)) (*callerserver.Answer, error) {
	switch name {
	case "part":
		return nil, takePart(data, part)
	case "answer":
		var answer callerserver.Answer
		if err := json.Unmarshal([]byte(data), &answer); err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		return &answer, nil
	case "failure":
		// The status was sent before the first part, so it says nothing of the failure.
		return nil, parseFailure(http.StatusOK, []byte(data))
	}
	return nil, nil
}

func takePart(data string, part func(string)) error {
	var p struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal([]byte(data), &p); err != nil {
		return fmt.Errorf("read a part: %w", err)
	}
	if part != nil {
		part(p.Text)
	}
	return nil
}
