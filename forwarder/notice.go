package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/connector"
	"geraniumline/meter"
	"geraniumline/registrar"
	"geraniumline/regulator"
)

// readAnswer decodes the header of an endpoint's answer, and takes what it says of the work that the endpoint takes.
func (f *Forwarder) readAnswer(e *registrar.Endpoint, answer *connector.Answer) AnswerInfo {
	info := f.cfg.Wire.ReadAnswer(answer.Status(), answer.Header())
	if info.NoticeErr != nil {
		f.cfg.Meter.Counter(meter.NoticesUnusable, e.Service).Inc(1)
		f.note("endpoint's notice can't be used", zap.String("endpoint", e.ID), zap.Error(info.NoticeErr))
	}
	if info.NoticeErr == nil || info.Notice != (regulator.Notice{}) {
		f.takeNotice(e, info.Notice, time.Now())
	}
	return info
}

// takeNotice takes what an endpoint's answer says of the work that it takes.
func (f *Forwarder) takeNotice(e *registrar.Endpoint, n regulator.Notice, now time.Time) {
	f.mu.Lock()
	changed := f.regulator.Heard(e.ID, n, now)
	f.mu.Unlock()
	if changed {
		f.note("endpoint's limit changed",
			zap.String("endpoint", e.ID),
			zap.String("service", e.Service),
			zap.Bool("limited", n.Limited),
			zap.Float64("perSecond", n.PerSecond))
	}
}
