package collector

import "time"

// rateWindow is the time over which a rate is taken: some ten calls.
const rateWindow = 2 * time.Second

// pastRate is how much was counted a second, over the last window and the present one.
type pastRate struct {
	began         time.Time
	present, past int
}

func (r *pastRate) add(n int, now time.Time) {
	r.roll(now)
	r.present += n
}

func (r *pastRate) roll(now time.Time) {
	switch since := now.Sub(r.began); {
	case since < rateWindow:
		return
	case since < 2*rateWindow:
		r.past = r.present
		r.began = r.began.Add(rateWindow)
	default:
		r.past = 0
		r.began = now
	}
	r.present = 0
}

func (r *pastRate) perSecond(now time.Time) float64 {
	r.roll(now)
	span := rateWindow + now.Sub(r.began)
	return float64(r.past+r.present) / span.Seconds()
}
