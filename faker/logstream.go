package faker

import (
	"time"

	"geraniumline/platformserver"
)

// firstOffset is the offset at which a stream starts. It is 1 so that 0 can mean no offset.
const firstOffset = 1

// Limits of a page of records, in records and bytes.
const (
	defaultPageRecords = 1000
	maxPageBytes       = 4 << 20
)

// retention limits the age, the number and the total bytes of the records that a stream keeps. An age of 0
// means no age limit.
type retention struct {
	age     time.Duration
	records int
	bytes   int64
}

// logStream is a named stream of records. Offsets increase and may have gaps.
type logStream struct {
	records       []platformserver.LogRecord
	bytes         int64
	next          int64
	first         int64
	appendCount   int64
	appendedBytes int64
	changed       chan struct{}
	retention     retention
}

func newLogStream(r retention) *logStream {
	return &logStream{next: firstOffset, changed: make(chan struct{}), retention: r}
}

// append adds a record after skipping the given number of offsets, and notifies waiting readers.
func (s *logStream) append(data []byte, skippedOffsets int64, now time.Time) int64 {
	offset := s.next + skippedOffsets
	s.next = offset + 1
	s.records = append(s.records, platformserver.LogRecord{Offset: offset, AtMillis: now.UnixMilli(), Data: data})
	s.bytes += int64(len(data))
	s.appendCount++
	s.appendedBytes += int64(len(data))
	s.expire(now)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// expire deletes the oldest records until the rest are within the retention limits.
func (s *logStream) expire(now time.Time) {
	oldest := now.Add(-s.retention.age).UnixMilli()
	for len(s.records) > 0 {
		tooOld := s.retention.age > 0 && s.records[0].AtMillis < oldest
		overLimit := len(s.records) > s.retention.records || s.bytes > s.retention.bytes
		if !tooOld && !overLimit {
			return
		}
		s.dropOldest()
	}
}

// truncateAfter deletes the records that were appended after a time, in Unix milliseconds, and reuses
// their offsets. It notifies waiting readers.
func (s *logStream) truncateAfter(millis int64) {
	for n := len(s.records); n > 0 && s.records[n-1].AtMillis > millis; n = len(s.records) {
		s.next = s.records[n-1].Offset
		s.bytes -= int64(len(s.records[n-1].Data))
		s.records = s.records[:n-1]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim deletes the records below an offset, as retention would do.
func (s *logStream) trim(before int64) {
	for len(s.records) > 0 && s.records[0].Offset < before {
		s.dropOldest()
	}
}

func (s *logStream) dropOldest() {
	s.bytes -= int64(len(s.records[0].Data))
	s.first = s.records[0].Offset + 1
	s.records[0] = platformserver.LogRecord{}
	s.records = s.records[1:]
}

// read returns up to limit records, starting at an offset. First in the page is one past the offset of
// the last deleted record, or 0 if none has been deleted. A reader whose from is below First has missed
// records; a gap in the offsets cannot be mistaken for that.
func (s *logStream) read(from int64, limit int, now time.Time) *platformserver.RecordPage {
	s.expire(now)
	page := &platformserver.RecordPage{Records: []platformserver.LogRecord{}, First: s.first, Next: max(from, s.first)}
	size := 0
	for _, record := range s.records[s.indexOf(from):] {
		size += len(record.Data)
		if len(page.Records) >= limit || (size > maxPageBytes && len(page.Records) > 0) {
			break
		}
		page.Records = append(page.Records, record)
		page.Next = record.Offset + 1
	}
	return page
}

// indexOf returns the index of the first record at or above an offset.
func (s *logStream) indexOf(from int64) int {
	low, high := 0, len(s.records)
	for low < high {
		middle := (low + high) / 2
		if s.records[middle].Offset < from {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
