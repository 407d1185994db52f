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

// maxReplyBytes bounds a reply that is not streamed.
const maxReplyBytes = 16 << 20

// SendTo sends a request to one entry, once.
func (c *Caller) SendTo(ctx context.Context, entry string, request Request) (Answer, error) {
	post, err := c.newPost(ctx, entry, request)
	if err != nil {
		return Answer{}, &unsendableError{err: err}
	}
	response, err := c.do(post)
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

func (c *Caller) newPost(ctx context.Context, entry string, request Request) (*http.Request, error) {
	call := callerserver.PipelineRequest{Input: request.Input, DeadlineMillis: max(request.Deadline.Milliseconds(), 1)}
	if request.Stream {
		call.Stream.SetTo(true)
	}
	body, err := call.MarshalJSON()
	if err != nil {
		return nil, err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(entry, "/v1/pipelines/"+url.PathEscape(request.Pipeline)+"/requests"), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// On a broken connection net/http sends a request with an idempotency key again, unseen: a notRun to the
	// second would then be taken for the truth about both. Without GetBody it can't, and the try counts as one
	// that may have reached the entry.
	post.GetBody = nil
	post.Header.Set("Idempotency-Key", request.Key)
	post.Header.Set("Content-Type", "application/json")
	if request.Traceparent != "" {
		post.Header.Set("Traceparent", request.Traceparent)
	}
	return post, nil
}

func readAnswer(response *http.Response, part func(string)) (*callerserver.Answer, error) {
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if media == "text/event-stream" {
		return readStream(response.Body, part)
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

// do makes a call with the account's credential. A status other than 200 is an error.
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
