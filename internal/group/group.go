// Package group plans how a prompt that exceeds the memory of one engine runs on
// several: which engines, how much of the prompt on each, and in which order they are
// reserved, prefilled and released.
//
// Engines are reserved one after the other, in the order of their names, and an engine
// without enough memory refuses immediately. A group that cannot reserve all of its
// engines releases those that it has. This prevents deadlocks, in which two groups wait
// for each other while each holds an engine that the other needs.
package group

import (
	"cmp"
	"slices"
)

// Limits of the share of an engine's memory that a group takes.
const (
	// MaxMemoryShare is the maximum share of an engine's capacity. The rest is
	// left for other work on the engine.
	MaxMemoryShare = 0.8
	// MaxFreeMemoryShare is the maximum share of an engine's reported free memory,
	// because reports lag behind the engine's actual state.
	MaxFreeMemoryShare = 0.9
	// MinMemoryShare is the minimum share of an engine's capacity. Smaller segments
	// are not worth the transfer of the whole prefix to the engine.
	MinMemoryShare = 0.1
)

// EngineMemory is the KV memory of one engine, in tokens.
type EngineMemory struct {
	Target   string
	Capacity int
	Free     int
}

// Member is one engine's part of a group.
type Member struct {
	Target string
	// Tokens is the memory to reserve, in tokens.
	Tokens int
	// From and To delimit the engine's segment, in per mille of the prompt.
	From, To int
}

// promptPerMille is the whole prompt in per mille: the end of the last segment.
const promptPerMille = 1000

// Plan chooses the fewest engines whose memory together holds the prompt and the
// answer. The last member also holds the answer. If the engines do not have enough free
// memory now, members is nil and possible reports whether they would have enough if
// they were empty.
func Plan(promptTokens, answerTokens int, engines []EngineMemory) (members []Member, possible bool) {
	need := promptTokens + answerTokens
	sorted := slices.SortedFunc(slices.Values(engines), func(a, b EngineMemory) int {
		return cmp.Or(cmp.Compare(b.usableTokens(), a.usableTokens()), cmp.Compare(a.Target, b.Target))
	})
	usableTotal, emptyCapacity := 0, 0
	var chosen []EngineMemory
	for _, r := range sorted {
		emptyCapacity += int(MaxMemoryShare * float64(r.Capacity))
		if usableTotal < need && float64(r.usableTokens()) >= MinMemoryShare*float64(r.Capacity) && r.usableTokens() > answerTokens {
			chosen = append(chosen, r)
			usableTotal += r.usableTokens()
		}
	}
	if usableTotal < need || len(chosen) == 0 {
		return nil, emptyCapacity >= need
	}
	slices.SortFunc(chosen, func(a, b EngineMemory) int { return cmp.Compare(a.Target, b.Target) })
	return assignSegments(chosen, usableTotal, promptTokens, answerTokens), true
}

// usableTokens returns how many tokens of the engine's memory a group may take.
func (r EngineMemory) usableTokens() int {
	return int(min(MaxMemoryShare*float64(r.Capacity), MaxFreeMemoryShare*float64(r.Free)))
}

// assignSegments assigns each engine a segment in proportion to its usable memory. The
// memory of the last engine is counted without the answer that it also holds.
func assignSegments(chosen []EngineMemory, total, promptTokens, answerTokens int) []Member {
	members := make([]Member, len(chosen))
	assignedTokens := 0
	for i, r := range chosen {
		room := r.usableTokens()
		from := assignedTokens * promptPerMille / (total - answerTokens)
		if i == len(chosen)-1 {
			room -= answerTokens
		}
		assignedTokens += room
		to := assignedTokens * promptPerMille / (total - answerTokens)
		members[i] = Member{Target: r.Target, From: from, To: to, Tokens: (promptTokens*(to-from) + promptPerMille - 1) / promptPerMille}
	}
	members[len(members)-1].Tokens += answerTokens
	return members
}

// Step is the next operation of a group.
type Step int

// Steps of a group, in order. Reserve and Prefill are performed for each member.
const (
	Reserve Step = iota
	Prefill
	Decode
	Closed
)

// Group is the execution of one prompt on several engines.
type Group struct {
	members     []Member
	step        Step
	memberIndex int // index of the member that step applies to
}

// New returns a group without reservations.
func New(members []Member) *Group { return &Group{members: members} }

// Members returns the members, in the order of their engines' names.
func (g *Group) Members() []Member { return g.members }

// Step returns the step to perform and its member. Decode runs on the last member.
func (g *Group) Step() (Step, Member) { return g.step, g.members[g.memberIndex] }

// PrecedingMembers returns the members whose segments precede that of the current member.
func (g *Group) PrecedingMembers() []Member { return g.members[:g.memberIndex] }

// Advance records that the current step succeeded and selects the next one, up to
// Decode.
func (g *Group) Advance() {
	last := g.memberIndex == len(g.members)-1
	switch {
	case g.step >= Decode:
	case !last:
		g.memberIndex++
	case g.step == Reserve:
		g.step, g.memberIndex = Prefill, 0
	default:
		g.step = Decode
	}
}

// Reserved returns the members whose reservations are confirmed.
func (g *Group) Reserved() []Member {
	switch g.step {
	case Reserve:
		return g.members[:g.memberIndex]
	case Closed:
		return nil
	}
	return g.members
}

// Close ends the group and returns the members to release: those that may hold a
// reservation, including the one whose reservation is still pending. Further calls
// return none.
func (g *Group) Close() []Member {
	members := g.members
	switch g.step {
	case Reserve:
		members = g.members[:g.memberIndex+1]
	case Closed:
		return nil
	}
	g.step = Closed
	return members
}
