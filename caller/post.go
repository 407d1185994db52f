package caller

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"net/url"

	"geraniumline/callerserver"
)

// maxReplyBytes bounds a response that is not streamed.
const maxReplyBytes = 16 << 20

// SendTo sends a request to one entry, without retries. It returns a RequestError if the entry responds with a
// failure.
func (c *Caller) SendTo(ctx context.Context, entry string, request Request) (Answer, error) {
	httpRequest, err := c.newHTTPRequest(ctx, entry, request)
	if err != nil {
		return Answer{}, &invalidRequestError{err: err}
	}
	response, err := c.do(httpRequest)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := readAnswer(response, request.OnPart)
	if err != nil {
		return Answer{}, err
	}
	return Answer{
		RequestID: answer.RequestId,
		Key:       answer.Key,
		Text:      answer.Answer,
		TraceID:   response.Header.Get("Trace-Id"),
		Entry:     entry,
		Attempts:  1,
	}, nil
}

func (c *Caller) newHTTPRequest(ctx context.Context, entry string, request Request) (*http.Request, error) {
	payload := callerserver.PipelineRequest{Input: request.Input, DeadlineMillis: max(request.Deadline.Milliseconds(), 1)}
	if request.Stream {
		payload.Stream.SetTo(true)
	}
	body, err := payload.MarshalJSON()
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(entry, "/v1/pipelines/"+url.PathEscape(request.Pipeline)+"/requests"), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// On a broken connection net/http silently retries a request that has an idempotency key. A notRun response to
	// the retry would then be mistaken for the outcome of both. Without GetBody it can't retry, and the attempt
	// counts as one that may have reached the entry.
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Idempotency-Key", request.Key)
	httpRequest.Header.Set("Content-Type", "application/json")
	if request.Traceparent != "" {
		httpRequest.Header.Set("Traceparent", request.Traceparent)
	}
	return httpRequest, nil
}

func readAnswer(response *http.Response, onPart func(string)) (*callerserver.Answer, error) {
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if mediaType == "text/event-stream" {
		return readStream(response.Body, onPart)
	}
	body, err := readBody(response.Body)
	if err != nil {
		return nil, err
	}
	answer := &callerserver.Answer{}
	return answer, answer.UnmarshalJSON(body)
}

func (c *Caller) url(entry, path string) string {
	return c.cfg.Scheme + "://" + entry + path
}

// do sends an HTTP request with the account's credential. It returns an error for any status other than 200.
func (c *Caller) do(request *http.Request) (*http.Response, error) {
	request.SetBasicAuth(c.cfg.Account, c.cfg.Credential)
	response, err := c.cfg.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response.Body)
	if err != nil {
		return nil, err
	}
	return nil, parseFailure(response.StatusCode, body)
}

func readBody(body io.Reader) ([]byte, error) {
	return io.ReadAll(io.LimitReader(body, maxReplyBytes))
}
