package server

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"frostdock.example/frostdock/internal/admission"
)

// reportTimes is how often the measured times are told in the log.
const reportTimes = 30 * time.Second

// times gathers how long requests took, by what was asked.
type times struct {
	mu sync.Mutex
	by map[string]*hdrhistogram.Histogram
}

func newTimes() *times { return &times{by: map[string]*hdrhistogram.Histogram{}} }

// add notes one request.
func (t *times) add(what string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.by[what]
	if h == nil {
		h = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 2)
		t.by[what] = h
	}
	_ = h.RecordValue(max(1, took.Microseconds())) // a value beyond the range is not worth an error
}

// report tells the times of each period, at info, until ctx ends.
func (t *times) report(ctx context.Context, log *slog.Logger, l *admission.Limiter) error {
	tick := time.NewTicker(reportTimes)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		t.mu.Lock()
		for _, what := range []string{"submit", "poll", "abort", "report"} {
			h := t.by[what]
			if h == nil || h.TotalCount() == 0 {
				continue
			}
			log.Info("times", "of", what, "count", h.TotalCount(), "p50_ms", float64(h.ValueAtQuantile(50))/1000,
				"p99_ms", float64(h.ValueAtQuantile(99))/1000, "max_ms", float64(h.Max())/1000, "limit", l.Bound())
			h.Reset()
		}
		t.mu.Unlock()
	}
}
