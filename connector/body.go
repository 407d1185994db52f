package connector

import (
	"bytes"
	"errors"
	"io"
)

const (
	// firstBlock and maxBlock are the sizes in bytes of the first and of the largest blocks of a body.
	firstBlock = 4 << 10
	maxBlock   = 64 << 10
	// blockGrowth is how much larger each block is than the one before.
	blockGrowth = 4
)

// Body is a body in blocks. Unlike a growing buffer, it is never copied and holds little more than has arrived.
type Body [][]byte

// NewBody returns a body of a single block.
func NewBody(data []byte) Body {
	if len(data) == 0 {
		return nil
	}
	return Body{data}
}

// Len returns the length in bytes.
func (b Body) Len() int {
	n := 0
	for _, block := range b {
		n += len(block)
	}
	return n
}

// Bytes returns the body in one piece, copied unless it is a single block.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}

// BodyBuffer collects a body as it arrives.
type BodyBuffer struct {
	grow func(n int64) error
	// announced is the length that the sender has announced, or less than 0.
	announced int64
	body      Body
	last      int
}

// NewBodyBuffer returns an empty buffer. It calls grow before it holds n more bytes, and fails with the error of that. A sender's
// announced length is only used to save memory; it is less than 0 if there is none.
func NewBodyBuffer(announced int64, grow func(n int64) error) *BodyBuffer {
	return &BodyBuffer{grow: grow, announced: announced}
}

// Body returns what has arrived. The buffer must not be used afterwards.
func (b *BodyBuffer) Body() Body { return b.body }

// ReadFrom implements io.ReaderFrom.
func (b *BodyBuffer) ReadFrom(r io.Reader) (int64, error) {
	sum := int64(0)
	for {
		free, err := b.free()
		if err != nil {
			return sum, err
		}
		n, err := r.Read(free)
		b.commit(n)
		sum += int64(n)
		if errors.Is(err, io.EOF) {
			return sum, nil
		}
		if err != nil {
			return sum, err
		}
	}
}

// Write implements io.Writer.
func (b *BodyBuffer) Write(p []byte) (int, error) {
	sum := 0
	for len(p) > 0 {
		free, err := b.free()
		if err != nil {
			return sum, err
		}
		n := copy(free, p)
		b.commit(n)
		sum += n
		p = p[n:]
	}
	return sum, nil
}

// free returns the free part of the last block, after it has added a block if the last one is full.
func (b *BodyBuffer) free() ([]byte, error) {
	if len(b.body) > 0 {
		if block := b.body[len(b.body)-1]; len(block) < cap(block) {
			return block[len(block):cap(block)], nil
		}
	}
	size := firstBlock
	switch {
	case b.last > 0:
		size = min(b.last*blockGrowth, maxBlock)
	case b.announced >= 0 && b.announced < firstBlock:
		size = max(int(b.announced), 1)
	}
	if err := b.grow(int64(size)); err != nil {
		return nil, err
	}
	b.last = max(size, firstBlock)
	b.body = append(b.body, make([]byte, 0, size))
	return b.body[len(b.body)-1][:size], nil
}

// commit adds n bytes that were put into the free part.
func (b *BodyBuffer) commit(n int) {
	last := &b.body[len(b.body)-1]
	*last = (*last)[:len(*last)+n]
}
