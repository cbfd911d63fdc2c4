package forward

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/result"
)

// headerAttemptsLeft is the header of requests from one instance to another with the number
// of attempts that may still run at targets. It means nothing on other connections.
const headerAttemptsLeft = "X-Medlardeck-Attempts-Left"

// errPeerFailed reports that a peer could not complete a request that may have run.
var errPeerFailed = errors.New("the peer failed the request")

// RelayHandler serves the requests of peers that reach no target. They differ from those
// of callers only in that they are not sent on to another peer, and that some of their
// attempts may be used up. It must be reachable for instances only.
func (n *Node) RelayHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attemptsLeft, err := strconv.Atoi(r.Header.Get(headerAttemptsLeft))
		if err != nil || attemptsLeft <= 0 {
			metadata := n.opts.HeaderCodec.ReadRequest(r.Header)
			n.refusals.info("request-rejected", "request", metadata.ID, "cause", "a peer's request without attempts left")
			n.writeError(w, metadata.ID, http.StatusBadRequest, fleet.Finish{Code: result.BadRequest})
			return
		}
		r.Header.Del(headerAttemptsLeft)
		n.setKeepAlive(w.Header())
		n.serve(w, r, attemptsLeft)
	})
}

// setKeepAlive tells a peer how long the connection of an answer may be idle.
func (n *Node) setKeepAlive(h http.Header) {
	if config, _ := n.Config(); config != nil && config.Limits.IdleTimeout > 0 {
		h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(config.Limits.IdleTimeout.Seconds())))
	}
}

// isPeerError reports whether a peer has answered in place of a target.
func isPeerError(send fleet.Send, h http.Header, signed bool) bool {
	return send.Relay.Address != "" && !signed && h.Get(headerCode) != ""
}

// readPeerError returns the end of an attempt that a peer has answered in place of a
// target. Only a gateway error leaves open whether the request ran.
func readPeerError(c *conn, resp *http.Response) fleet.AttemptEnd {
	resp.Close = resp.Close || discardBody(c, resp, maxDiscardedBytes) != nil
	if resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout {
		return fleet.AttemptEnd{Outcome: fleet.OutcomeFailed, Status: resp.StatusCode, Cause: errPeerFailed.Error()}
	}
	end := fleet.AttemptEnd{Outcome: fleet.OutcomeNotRun, Status: resp.StatusCode, Refusal: result.TargetsRefused}
	if code, err := strconv.Atoi(resp.Header.Get(headerCode)); err == nil {
		end.Refusal = result.Code(code)
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get(headerRetryAfter), 64); err == nil && seconds > 0 && seconds < maxPeerRetryAfter.Seconds() {
		end.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return end
}

// maxPeerRetryAfter is the longest Retry-After of a peer that is passed on.
const maxPeerRetryAfter = time.Hour
