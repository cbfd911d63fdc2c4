package httpapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/node"
	"github.com/medlardeck/medlardeck/internal/result"
)

// passer passes one answer to its caller.
type passer struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	x       *node.Exchange
	timeout time.Duration   // of one write
	left    <-chan struct{} // closed when the caller left
	closes  bool            // the connection ends with this answer
	old     bool            // HTTP/1.0: no chunks
}

func (a *API) newPasser(w http.ResponseWriter, r *http.Request, x *node.Exchange) *passer {
	p := &passer{
		w: w, rc: http.NewResponseController(w), x: x, timeout: a.opts.WriteTimeout,
		closes: r.Close, old: !r.ProtoAtLeast(1, 1),
	}
	// A caller that announced that it sends no further request may close its
	// sending half and wait: the end of its input says nothing. Its leaving
	// shows when a write fails.
	if !r.Close {
		p.left = r.Context().Done()
	}
	return p
}

// receive calls fn with each part of the answer until the request has its
// outcome. It returns an error when the caller left, and has then said so.
func (p *passer) receive(fn func(*node.Head, []byte) error) error {
	reader := p.x.Reader()
	defer reader.Close()
	for {
		head, part, err := reader.Next(p.left)
		if errors.Is(err, node.ErrSlow) {
			p.x.LeaveSlow()
			return err
		}
		if errors.Is(err, context.Canceled) {
			p.x.Leave()
			return err
		}
		if ferr := fn(head, part); ferr != nil {
			p.leave(ferr)
			return ferr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
	}
}

func (p *passer) leave(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		p.x.LeaveSlow()
		return
	}
	p.x.Leave()
}

// write sends bytes within the write timeout.
func (p *passer) write(b []byte) error {
	_ = p.rc.SetWriteDeadline(time.Now().Add(p.timeout))
	_, err := p.w.Write(b)
	return err
}

// flush sends what was written so far within the write timeout.
func (p *passer) flush(b []byte) error {
	if err := p.write(b); err != nil {
		return err
	}
	return p.rc.Flush()
}

func (p *passer) complete() bool { return p.x.End().Code.Family() == result.FamilyComplete }

// body answers with a whole body.
func (p *passer) body(status int, contentType string, body []byte) {
	h := p.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	p.w.WriteHeader(status)
	_ = p.write(body)
}

// abort ends the connection without the end of the answer, so that the caller
// sees that it was cut short.
func abort() { panic(http.ErrAbortHandler) }
