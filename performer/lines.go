package performer

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"geraniumline/connector"
)

const (
	// lineBuffer is the size in bytes of a reply's reader. A line that fits needs no further memory.
	lineBuffer = 8 << 10
	// maxLine is the maximum size of one part of a reply, in bytes.
	maxLine = 4 << 20
)

// LineSizeError reports a part of more than maxLine bytes.
type LineSizeError struct{}

func (*LineSizeError) Error() string { return "a part is too long" }

// lineReader reads the lines of a reply.
type lineReader struct {
	r *bufio.Reader
	// grow makes room for n more bytes of a line that does not fit into the reader; it may fail.
	grow func(n int64) error
	long []byte
}

func newLineReader(r io.Reader, grow func(n int64) error) *lineReader {
	return &lineReader{r: bufio.NewReaderSize(r, lineBuffer), grow: grow}
}

// next returns the next line without its end. It is valid until the following call. The error is io.EOF at the end of the
// reply, a *LineSizeError, or one of grow.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.read()
	if len(line) > 0 && errors.Is(err, io.EOF) {
		err = nil
	}
	return bytes.TrimRight(line, "\r\n"), err
}

func (l *lineReader) read() ([]byte, error) {
	l.long = l.long[:0]
	for {
		line, err := l.r.ReadSlice('\n')
		if err == nil && len(l.long) == 0 {
			return line, nil
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) && len(l.long) == 0 {
			return line, err
		}
		if len(l.long)+len(line) > maxLine {
			return nil, &LineSizeError{}
		}
		if more := len(l.long) + len(line) - cap(l.long); more > 0 {
			// The buffer doubles, as append does for small slices, so that a line isn't copied for each read.
			more = max(more, cap(l.long))
			if err := l.grow(int64(more)); err != nil {
				return nil, err
			}
			l.long = append(make([]byte, 0, cap(l.long)+more), l.long...)
		}
		l.long = append(l.long, line...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return l.long, err
		}
	}
}

// heldReader reads what is kept in memory.
type heldReader struct {
	r    io.Reader
	hold *connector.Hold
}

// Read implements io.Reader. Its error may be that there is no memory for what was read.
func (h *heldReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if growErr := h.hold.Grow(int64(n)); growErr != nil {
		return 0, growErr
	}
	return n, err
}
