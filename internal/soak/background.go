package soak

import (
	"context"
	"sync"
	"time"
)

// background owns the goroutines of a run, all of which have ended when wait returns. It stores the
// context because all of them share this one.
type background struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newBackground(ctx context.Context) *background {
	b := &background{}
	b.ctx, b.cancel = context.WithCancel(ctx)
	return b
}

// spawn runs an action in a goroutine. The action must end soon after the run is stopped. Only
// these may call spawn: other actions, for which wait waits, and code that has ended before wait is
// called, which is Run itself and the stand-ins' handlers.
func (b *background) spawn(action func()) { b.running.Go(action) }

// sleep waits for the duration or the end of the run, and reports whether the run continues.
func (b *background) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-b.ctx.Done():
		return false
	}
}

// after runs an action after a delay, unless the run is stopped by then.
func (b *background) after(delay time.Duration, action func()) {
	b.spawn(func() {
		if b.sleep(delay) {
			action()
		}
	})
}

// isStopped reports whether the run is being closed.
func (b *background) isStopped() bool { return b.ctx.Err() != nil }

// stop tells all goroutines to end.
func (b *background) stop() { b.cancel() }

// wait returns when all goroutines have ended.
func (b *background) wait() { b.running.Wait() }
