package soak

import (
	"context"
	"sync"
	"time"
)

// background owns the goroutines of a run. They share one context, and all have ended when wait
// returns. The context is kept here since every goroutine of the run has the same.
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

// spawn runs an action in a goroutine. The action must end soon after the run is stopped. Only what
// ends before wait is called may spawn: Run itself, other actions, and the stand-ins' handlers.
func (b *background) spawn(action func()) { b.running.Go(action) }

// sleep waits, and reports whether the run goes on.
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

// after runs an action later, unless the run is stopped by then.
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
