package connector

import (
	"fmt"
	"io"
)

const (
	// maxHeadBytes limits the bytes that are read for the head of a response, including the informational ones before it.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes limits the body of a response to another request, which is skipped.
	maxSkippedBytes = 1 << 20
)

// HeadSizeError reports that a response didn't begin within Limit bytes.
type HeadSizeError struct{ Limit int64 }

func (e *HeadSizeError) Error() string {
	return fmt.Sprintf("no response begins within %d bytes", e.Limit)
}

// limitedReader reads from a connection, up to a limit while one is set. The parser of responses has no limit of its own and
// would hold a line without end in memory.
type limitedReader struct {
	r io.Reader
	// limit is the limit in bytes, or 0 for none, and left what remains of it.
	limit, left int64
}

// setLimit sets the limit for what is read from now on; 0 sets none.
func (l *limitedReader) setLimit(n int64) { l.limit, l.left = n, n }

// Read implements io.Reader. It returns a *HeadSizeError beyond the limit.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.limit == 0 {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, &HeadSizeError{Limit: l.limit}
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}
