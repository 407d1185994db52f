package faker

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"unicode/utf8"

	"geraniumline/endpointserver"
)

const digestDigits = 16

// output holds what is needed to generate the answer to a call. To keep it small, it contains no input
// except the kept prefix.
type output struct {
	head   string
	seed   [sha256.Size]byte
	prefix string
	tokens int
}

func newOutput(stage, requestID, input string, tokens, keepPrefix int) output {
	head := stage + ":" + requestID + ":"
	return output{
		head:   head,
		seed:   sha256.Sum256([]byte(head + "\x00" + input)),
		prefix: strings.Clone(utf8Prefix(input, keepPrefix)),
		tokens: tokens,
	}
}

// parts returns the texts of the parts of an answer. They depend only on the stage, the request id, the
// input, the number of tokens and the kept prefix, so that a test can check which request an answer
// belongs to and whether it is complete:
//
//	"stage:requestId:"  the first part
//	"1:xxxx " ...       each intermediate part, with its number and four digits of the chained digest
//	"dddddddddddddddd"  the last part, the end of the digest chain over the input and all earlier parts
//
// With one token, the text is a single part: "stage:requestId:dddddddddddddddd". A kept prefix of the
// input precedes the text of the first part.
func (o output) parts() []string {
	head := o.prefix + o.head
	digest := o.seed
	if o.tokens <= 1 {
		return []string{head + hexDigest(digest)}
	}
	parts := make([]string, 0, o.tokens)
	parts = append(parts, head)
	for i := 1; i < o.tokens-1; i++ {
		digest = sha256.Sum256(digest[:])
		parts = append(parts, fmt.Sprintf("%d:%s ", i, hexDigest(digest)[:4]))
	}
	digest = sha256.Sum256(digest[:])
	return append(parts, hexDigest(digest))
}

func hexDigest(digest [sha256.Size]byte) string {
	return hex.EncodeToString(digest[:digestDigits/2])
}

// utf8Prefix returns up to n leading bytes of the input without splitting a UTF-8 character.
func utf8Prefix(input string, n int) string {
	if n >= len(input) {
		return input
	}
	for n > 0 && !utf8.RuneStart(input[n]) {
		n--
	}
	return input[:n]
}

// expectedOutput returns the output that the endpoint will produce for the call.
func (e *Endpoint) expectedOutput(call *endpointserver.StageCall) output {
	switch processor := e.processor.(type) {
	case *generator:
		return newOutput(call.Stage, call.RequestId, call.Input, call.MaxTokens.Or(processor.cfg.Tokens), 0)
	case *responder:
		return newOutput(call.Stage, call.RequestId, call.Input, 1, processor.keepPrefix)
	default:
		return output{}
	}
}

// ExpectedOutput returns the complete text that the stand-in of a stage answers with. For an engine,
// tokens is the number of parts; for a service it is 1.
func ExpectedOutput(stage, requestID, input string, tokens int) string {
	return strings.Join(newOutput(stage, requestID, input, tokens, 0).parts(), "")
}

// ExpectedStage describes one stage of a pipeline for ExpectedPipelineOutput.
type ExpectedStage struct {
	Name string
	// Tokens is the number of parts that an engine generates, and 1 for a service.
	Tokens int
	// KeepPrefix is the value in the ServiceConfig of the service.
	KeepPrefix int
}

// ExpectedPipelineOutput returns the text of the last stage if each stage gets the text of the previous
// stage as its input.
func ExpectedPipelineOutput(requestID, input string, stages []ExpectedStage) string {
	text := input
	for _, stage := range stages {
		text = strings.Join(newOutput(stage.Name, requestID, text, stage.Tokens, stage.KeepPrefix).parts(), "")
	}
	return text
}
