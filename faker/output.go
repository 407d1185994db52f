package faker

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

const digestDigits = 16

// outputParts returns the texts of a stage's parts. They depend on nothing but the arguments, so that
// whoever holds an answer can tell whose it is and whether it is whole:
//
//	"stage:requestId:"  the first part
//	"1:xxxx " ...       each part between, with its number and four digits of the chained digest
//	"dddddddddddddddd"  the last part, the end of the chain over the input and all parts before
//
// With one token the whole text is one part: "stage:requestId:dddddddddddddddd".
func outputParts(stage, requestID, input string, tokens int) []string {
	head := stage + ":" + requestID + ":"
	digest := sha256.Sum256([]byte(head + "\x00" + input))
	if tokens <= 1 {
		return []string{head + digits(digest)}
	}
	parts := make([]string, 0, tokens)
	parts = append(parts, head)
	for i := 1; i < tokens-1; i++ {
		digest = sha256.Sum256(digest[:])
		parts = append(parts, fmt.Sprintf("%d:%s ", i, digits(digest)[:4]))
	}
	digest = sha256.Sum256(digest[:])
	return append(parts, digits(digest))
}

func digits(digest [sha256.Size]byte) string {
	return hex.EncodeToString(digest[:digestDigits/2])
}

// Expect returns the whole text that a stage's stand-in answers: an engine with tokens parts, a
// service with tokens 1.
func Expect(stage, requestID, input string, tokens int) string {
	return strings.Join(outputParts(stage, requestID, input, tokens), "")
}

// ExpectedStage is one stage of a pipeline as Expect needs it.
type ExpectedStage struct {
	Name   string
	Tokens int
}

// ExpectPipeline returns the last stage's text where each stage's input is the text of the one before.
func ExpectPipeline(requestID, input string, stages []ExpectedStage) string {
	text := input
	for _, stage := range stages {
		text = Expect(stage.Name, requestID, text, stage.Tokens)
	}
	return text
}
