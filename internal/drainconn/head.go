package drainconn

import (
	"bytes"
	"time"
)

// head is the head of a request that is being read. It is only measured here; http.Server
// parses it.
type head struct {
	beganAt    time.Time
	lastByteAt time.Time
	until      time.Time // zero for no limit
	maxBytes   int       // zero for no limit
	bytes      int
	lines      int  // that have ended
	lineBytes  int  // of the current line, without its end
	hasLine    bool // a line that is not empty has been read
	complete   bool // the empty line at its end has been read
}

// add measures bytes that have been read, up to the end of the head.
func (h *head) add(p []byte) {
	for _, b := range p {
		if h.complete {
			return
		}
		h.bytes++
		switch b {
		case '\r':
		case '\n':
			h.complete = h.hasLine && h.lineBytes == 0
			h.lines++
			h.lineBytes = 0
		default:
			h.lineBytes++
			h.hasLine = true
		}
	}
}

func (h *head) tooLarge() bool { return h.maxBytes > 0 && h.bytes > h.maxBytes }

// trailingLineEnds returns the number of line end bytes at the end of what has been read,
// given their number before p was read.
func trailingLineEnds(before int, p []byte) int {
	rest := len(bytes.TrimRight(p, "\r\n"))
	if rest == 0 {
		return before + len(p)
	}
	return len(p) - rest
}
