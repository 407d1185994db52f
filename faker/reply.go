package faker

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/jx"

	"geraniumline/endpointserver"
)

// StreamIDHeader names the stream before its first part, so that a waiting call can be cancelled. Only
// engines send it ahead of the parts.
const StreamIDHeader = "Stream-Id"

// reply sends one stream's parts over one connection, with the faults that its endpoint is to show.
type reply struct {
	endpoint *Endpoint
	w        http.ResponseWriter
	stream   *stream
	attempt  int
	from     int
	faults   Faults
	sent     int
	held     *endpointserver.StagePart
	encoder  jx.Encoder
}

func (p *reply) run(ctx context.Context) error {
	if err := p.holdBack(ctx); err != nil {
		panic(http.ErrAbortHandler)
	}
	p.writeHeader()
	next := p.from
	for {
		parts, err := p.stream.next(ctx, next)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if len(parts) == 0 {
			p.writeHeld()
			return nil
		}
		for i := range parts {
			p.send(parts[i])
		}
		next += len(parts)
	}
}

// holdBack delays or drops the reply before its first byte.
func (p *reply) holdBack(ctx context.Context) error {
	if p.faults.DropReplyAfterRun {
		// A panic with ErrAbortHandler has net/http close the connection without a reply.
		_ = p.stream.waitDone(ctx)
		panic(http.ErrAbortHandler)
	}
	return sleep(ctx, time.Duration(p.faults.DelayReplyMillis)*time.Millisecond)
}

func (p *reply) writeHeader() {
	p.w.Header().Set("Content-Type", "application/x-ndjson")
	p.w.Header().Set(StreamIDHeader, p.stream.id)
	p.w.WriteHeader(http.StatusOK)
	if _, generates := p.endpoint.work.(*generator); generates {
		p.flush()
	}
}

func (p *reply) send(part endpointserver.StagePart) {
	part.Attempt = p.attempt
	if p.faults.SwapReplies {
		part = p.swapped(part)
	}
	if p.faults.OutOfOrder && p.held == nil && !part.Final {
		p.held = &part
		return
	}
	p.write(part)
	p.writeHeld()
}

// swapped gives the part another request's ids and text.
func (p *reply) swapped(part endpointserver.StagePart) endpointserver.StagePart {
	other := p.endpoint.streams.other(p.stream)
	if other == nil {
		return part
	}
	texts := other.output.parts()
	part.RequestId = other.call.RequestId
	part.Stage = other.call.Stage
	part.Attempt = other.call.Attempt
	part.Text = texts[min(part.Seq, len(texts)-1)]
	return part
}

func (p *reply) writeHeld() {
	if p.held == nil {
		return
	}
	held := *p.held
	p.held = nil
	p.write(held)
}

func (p *reply) write(part endpointserver.StagePart) {
	p.writeLine(part)
	if p.faults.DuplicateParts {
		p.writeLine(part)
	}
	p.sent++
	if p.faults.CutStreamAfterParts > 0 && p.sent >= p.faults.CutStreamAfterParts {
		p.flush()
		panic(http.ErrAbortHandler)
	}
}

func (p *reply) writeLine(part endpointserver.StagePart) {
	p.encoder.Reset()
	part.Encode(&p.encoder)
	line := append(p.encoder.Bytes(), '\n')
	if _, err := p.w.Write(line); err != nil {
		panic(http.ErrAbortHandler)
	}
	if !part.Final {
		p.flush()
	}
}

// flush passes on what was written. Without it a part would wait in net/http's buffer for the next ones.
func (p *reply) flush() {
	if err := http.NewResponseController(p.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}
