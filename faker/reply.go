package faker

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/jx"

	"geraniumline/endpointserver"
)

// StreamIDHeader is the response header with the stream id. Engines send it before the first part, so
// that a waiting call can be cancelled; services send it together with the parts.
const StreamIDHeader = "Stream-Id"

// replyWriter sends the parts of a stream over one connection and injects the configured faults.
type replyWriter struct {
	endpoint *Endpoint
	w        http.ResponseWriter
	stream   *stream
	attempt  int
	from     int
	faults   Faults
	sent     int
	heldPart *endpointserver.StagePart
	encoder  jx.Encoder
}

func (p *replyWriter) run(ctx context.Context) error {
	if err := p.delayOrDrop(ctx); err != nil {
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
			p.writeHeldPart()
			return nil
		}
		for i := range parts {
			p.send(parts[i])
		}
		next += len(parts)
	}
}

// delayOrDrop delays the first byte of the reply, or drops the reply after the run.
func (p *replyWriter) delayOrDrop(ctx context.Context) error {
	if p.faults.DropReplyAfterRun {
		// A panic with ErrAbortHandler makes net/http close the connection without a reply.
		_ = p.stream.waitDone(ctx)
		panic(http.ErrAbortHandler)
	}
	return sleep(ctx, time.Duration(p.faults.DelayReplyMillis)*time.Millisecond)
}

func (p *replyWriter) writeHeader() {
	p.w.Header().Set("Content-Type", "application/x-ndjson")
	p.w.Header().Set(StreamIDHeader, p.stream.id)
	p.w.WriteHeader(http.StatusOK)
	if _, isEngine := p.endpoint.processor.(*generator); isEngine {
		p.flush()
	}
}

func (p *replyWriter) send(part endpointserver.StagePart) {
	part.Attempt = p.attempt
	if p.faults.SwapReplies {
		part = p.swapWithOther(part)
	}
	if p.faults.OutOfOrder && p.heldPart == nil && !part.Final {
		p.heldPart = &part
		return
	}
	p.write(part)
	p.writeHeldPart()
}

// swapWithOther replaces the ids and the text of the part by those of another request.
func (p *replyWriter) swapWithOther(part endpointserver.StagePart) endpointserver.StagePart {
	other := p.endpoint.streams.findOther(p.stream)
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

func (p *replyWriter) writeHeldPart() {
	if p.heldPart == nil {
		return
	}
	heldPart := *p.heldPart
	p.heldPart = nil
	p.write(heldPart)
}

func (p *replyWriter) write(part endpointserver.StagePart) {
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

func (p *replyWriter) writeLine(part endpointserver.StagePart) {
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

// flush sends the written parts. Without it, net/http would buffer a part until later ones are written.
func (p *replyWriter) flush() {
	if err := http.NewResponseController(p.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}
