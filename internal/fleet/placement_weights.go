package fleet

// Weights of PolicyValue.
const (
	// lateValueShare is the value of an answer that misses its target latency, as a
	// share of the value of one in time.
	lateValueShare = 0.25
	// tokensPerValue is the prompt size by which a request's value rises by one:
	// longer prompts are rarer and stand for more of a caller's work.
	tokensPerValue = 10_000
	// limitMargin is the share of a limit that is kept as a margin for errors of the
	// predictions.
	limitMargin = 0.3
	// firstEventMargin and firstEventMarginMS make up the margin for first events:
	// their predictions err by a share of the limit and by the passes in between.
	firstEventMargin   = 0.15
	firstEventMarginMS = 130
	// transferMS is the time that a request and its first event spend outside the
	// target: receiving the request, two network hops, and sending the event.
	transferMS = 8
	// packingBonus is the preference for a target that is already busy with short
	// requests over an idle one, as a share of the request's value: idle targets are
	// kept free for long prompts.
	packingBonus = 0.3
	// packingUtilization is the utilization of all slots up to which short requests
	// are packed even without recent long prompts: bursts of long prompts come
	// without notice, and there is room for both.
	packingUtilization = 0.5
	// maxJitter is the random part of a short request's score, as a share of its
	// value, with very many instances: instances that decide at the same time should
	// not all choose the same target. At halfJitterPeers peers it is half of that.
	maxJitter       = 0.12
	halfJitterPeers = 8
	// helperCost is the cost of each helper, as a share of the request's value: the
	// message to it and the time of its steps for the request's context.
	helperCost = 0.001
	// delayCost is the cost of a first event at the very end of its limit compared to
	// an immediate one, as a share of the request's value.
	delayCost = 0.05
	// remoteDomainCost is the cost of a target in another failure domain, as a share
	// of the request's value.
	remoteDomainCost = 0.002
	// brokenDomainCost is the same for a target in a failure domain where a connection of
	// the request broke.
	brokenDomainCost = 0.2
	// guestDomainCost replaces remoteDomainCost in a large fleet, where a domain uses
	// the targets of others only when its own are busy: their own instances choose
	// among fewer targets than all.
	guestDomainCost = 0.03
	// idleTargetCost is the cost of sending a long prompt to a target that decodes
	// nothing, as a share of the request's value if all demand is for long prompts:
	// from then on the target's passes include decoding steps, which leaves less time
	// for prefill.
	idleTargetCost = 0.3
	// maxBacklogMS bounds the prefill pending at the targets that a long prompt is
	// sent to, in milliseconds. Helper parts go first, so a longer queue would starve
	// the older ones.
	maxBacklogMS = 350
	// preferredParts is the least number of parts of a long prompt while enough
	// targets have room: each pass then prefills little, and no request waits long
	// for one engine.
	preferredParts = 8
	// shortPrefillShare is the largest share of a route's MaxEventGap that the prefill of
	// a short prompt may take.
	shortPrefillShare = 0.25
	// unsplitPrefillShare replaces shortPrefillShare for requests of the kind that
	// targets are dedicated to: they are not split, since the first event would wait
	// for the slowest part.
	unsplitPrefillShare = 0.6
)
