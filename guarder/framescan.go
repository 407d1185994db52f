package guarder

import (
	"bytes"
	"strconv"
)

const (
	// maxFieldBytes is how much of a line is kept; a length that takes more is refused.
	maxFieldBytes = 128
	// maxSizeDigits is the most hexadecimal digits of a chunk's size.
	maxSizeDigits = 16
)

// scanState is the part of a request that a frameScanner expects next.
type scanState int

const (
	scanRequestLine scanState = iota
	scanField
	scanBody
	scanChunkSize
	scanChunk
	scanChunkEnd
	scanTrailer
	// scanFailed is final: where the next request starts is unknown.
	scanFailed
)

// frameScanner follows the requests of a connection as net/http parses them, whatever reads they arrive in. It counts the heads
// whose length is unambiguous and stops before the first other one. It holds no more than the beginning of one line.
type frameScanner struct {
	state scanState
	// heads is the number of heads that have ended.
	heads int
	// line is what is kept of an unfinished line. truncated is set if it is not all of it.
	line      []byte
	truncated bool
	// left is the number of bytes of a body or chunk that are still to come.
	left uint64

	oldVersion bool
	chunked    bool
	// length is the value of Content-Length, if hasLength is set.
	length    uint64
	hasLength bool
	// lastField is set while a folded line would continue a field with a length.
	lastField bool
}

// scan follows the next bytes of the connection.
func (s *frameScanner) scan(data []byte) {
	for len(data) > 0 && s.state != scanFailed {
		switch s.state {
		case scanBody, scanChunk:
			n := min(uint64(len(data)), s.left)
			s.left -= n
			data = data[n:]
			if s.left == 0 {
				s.endData()
			}
		default:
			data = s.scanLine(data)
		}
	}
}

// endData ends a body or the data of a chunk.
func (s *frameScanner) endData() {
	if s.state == scanChunk {
		s.state = scanChunkEnd
		return
	}
	s.state = scanRequestLine
}

// scanLine takes bytes up to the end of a line and returns the rest.
func (s *frameScanner) scanLine(data []byte) []byte {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		s.keep(data)
		return nil
	}
	line := data[:end]
	if len(s.line) > 0 || s.truncated {
		s.keep(line)
		line = s.line
	}
	s.handleLine(line)
	s.line, s.truncated = s.line[:0], false
	return data[end+1:]
}

// keep keeps a part of an unfinished line: the end of a request line, which holds the version, and the beginning of others.
func (s *frameScanner) keep(part []byte) {
	if s.state == scanRequestLine {
		s.line = append(s.line, part[max(0, len(part)-maxFieldBytes):]...)
		if excess := len(s.line) - maxFieldBytes; excess > 0 {
			s.line, s.truncated = append(s.line[:0], s.line[excess:]...), true
		}
		return
	}
	n := min(len(part), maxFieldBytes-len(s.line))
	s.line = append(s.line, part[:n]...)
	s.truncated = s.truncated || n < len(part)
}

// handleLine handles a line without its line feed.
func (s *frameScanner) handleLine(line []byte) {
	switch s.state {
	case scanChunkSize:
		s.handleChunkSize(line)
		return
	case scanChunkEnd:
		s.state = scanChunkSize
		if string(line) != "\r" {
			s.state = scanFailed
		}
		return
	}
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch s.state {
	case scanRequestLine:
		// Some clients send an empty line after a body.
		if len(line) > 0 {
			s.beginHead(line)
		}
	case scanField:
		if len(line) == 0 {
			s.endHead()
		} else if !s.handleField(line) {
			s.state = scanFailed
		}
	case scanTrailer:
		if len(line) == 0 {
			s.state = scanRequestLine
		}
	}
}

func (s *frameScanner) beginHead(line []byte) {
	s.state = scanField
	s.oldVersion = bytes.HasSuffix(line, []byte("HTTP/1.0"))
	s.chunked, s.hasLength, s.lastField = false, false, false
}

// handleField reads a line of a head. It returns false if the length that it may have is not unambiguous.
func (s *frameScanner) handleField(line []byte) bool {
	if line[0] == ' ' || line[0] == '\t' {
		return !s.lastField
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	trimmed := bytes.TrimSpace(name)
	isLength := bytes.EqualFold(trimmed, []byte("Content-Length"))
	s.lastField = isLength || bytes.EqualFold(trimmed, []byte("Transfer-Encoding"))
	if !s.lastField {
		return true
	}
	if !found || len(trimmed) < len(name) || s.truncated {
		return false
	}
	value = bytes.Trim(value, " \t")
	if isLength {
		return s.setLength(value)
	}
	if s.oldVersion || s.chunked || s.hasLength || !bytes.EqualFold(value, []byte("chunked")) {
		return false
	}
	s.chunked = true
	return true
}

// setLength records a Content-Length. Equal ones may be repeated.
func (s *frameScanner) setLength(value []byte) bool {
	n, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || s.chunked || s.hasLength && n != s.length {
		return false
	}
	s.length, s.hasLength = n, true
	return true
}

// endHead begins the body.
func (s *frameScanner) endHead() {
	s.heads++
	switch {
	case s.chunked:
		s.state = scanChunkSize
	case s.hasLength && s.length > 0:
		s.state, s.left = scanBody, s.length
	default:
		s.state = scanRequestLine
	}
}

func (s *frameScanner) handleChunkSize(line []byte) {
	size, _, extended := bytes.Cut(line, []byte(";"))
	if !extended {
		size = bytes.TrimSuffix(size, []byte("\r"))
	}
	size = bytes.TrimRight(size, " \t")
	n, err := strconv.ParseUint(string(size), 16, 64)
	switch {
	case err != nil || len(size) > maxSizeDigits || !s.truncated && !bytes.HasSuffix(line, []byte("\r")):
		s.state = scanFailed
	case n == 0:
		s.state = scanTrailer
	default:
		s.state, s.left = scanChunk, n
	}
}
