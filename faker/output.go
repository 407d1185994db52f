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

// output is what a call's answer will be. It is small and holds none of the input but a kept prefix.
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

// parts returns the texts of an answer's parts. They depend on nothing but the stage, the request and
// the input, so that whoever holds an answer can tell whose it is and whether it is whole:
//
//	"stage:requestId:"  the first part
//	"1:xxxx " ...       each part between, with its number and four digits of the chained digest
//	"dddddddddddddddd"  the last part, the end of the chain over the input and all parts before
//
// With one token the whole text is one part: "stage:requestId:dddddddddddddddd". A prefix of the input
// that is kept comes before the first part's text.
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

// prefixOf returns up to n bytes of the input, and no half character.
func utf8Prefix(input string, n int) string {
	if n >= len(input) {
		return input
	}
	for n > 0 && !utf8.RuneStart(input[n]) {
		n--
	}
	return input[:n]
}

// outputOf returns what the endpoint will answer to the call.
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

// ExpectedOutput returns the whole text that a stage's stand-in answers: an engine with tokens parts, a
// service with tokens 1.
func ExpectedOutput(stage, requestID, input string, tokens int) string {
	return strings.Join(newOutput(stage, requestID, input, tokens, 0).parts(), "")
}

// ExpectedStage is one stage of a pipeline as ExpectedPipelineOutput needs it.
type ExpectedStage struct {
	Name string
	// Tokens is 1 for a service.
	Tokens int
	// KeepPrefix is that of the service's configuration.
	KeepPrefix int
}

// ExpectedPipelineOutput returns the last stage's text where each stage's input is the text of the one before.
func ExpectedPipelineOutput(requestID, input string, stages []ExpectedStage) string {
	text := input
	for _, stage := range stages {
		text = strings.Join(newOutput(stage.Name, requestID, text, stage.Tokens, stage.KeepPrefix).parts(), "")
	}
	return text
}
