package engine

// schedule runs the engine's steps, one goroutine for each engine. It sleeps
// while there is nothing to run.
func (e *Engine) schedule() {
	defer e.wg.Done()
	for {
		e.mu.Lock()
		b, hung := e.batch, e.faults.hung
		var st step
		if hung == nil {
			st = b.plan()
		}
		took := e.scaled(st.took) * e.faults.slow
		e.mu.Unlock()
		if took == 0 {
			if !e.idle(hung) {
				return
			}
			continue
		}
		if !e.sleep(took) {
			return
		}
		e.commit(b, st)
	}
}

// idle waits for work or for the end of a hang; it returns false when the
// engine is closed.
func (e *Engine) idle(hung <-chan struct{}) bool {
	select {
	case <-e.wake:
	case <-hung:
	case <-e.ctx.Done():
		return false
	}
	return true
}

func (e *Engine) commit(b *batch, st step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.batch != b || e.server == nil {
		return
	}
	if b.commit(st) {
		e.die()
		if e.faults.crashReturn > 0 {
			e.returnAfter(e.faults.crashReturn)
		}
		return
	}
	e.record()
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
