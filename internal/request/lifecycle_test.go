package request

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/medlardeck/medlardeck/internal/result"
)

func TestRefusalRequiresProof(t *testing.T) {
	must.Eq(t, result.BrokenAfterSend, Refuse(NotRunProof{}, result.NoTarget, 0).Code())
	must.Eq(t, result.NoTarget, Refuse(New(0).NotRunProof(), result.NoTarget, time.Second).Code())
	must.Eq(t, result.BrokenAfterSend, Refuse(New(0).NotRunProof(), result.TargetDied, 0).Code(),
		must.Sprint("a code of another family is not a refusal"))
}

func TestOutcomesKeepTheirFamily(t *testing.T) {
	for _, c := range result.All() {
		must.Eq(t, result.FamilyFailed, Fail(c).Code().Family())
		must.Eq(t, result.FamilyUnknown, Unknown(c).Code().Family())
	}
	must.Eq(t, result.FamilyComplete, Succeed().Code().Family())
	must.Eq(t, result.FamilyComplete, Replay().Code().Family())
}

// Compares Lifecycle with a simple model that records what happened to each attempt.
func TestProofIsValidOnlyIfNoAttemptCanHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		life, next := New(time.Second), AttemptID(0)
		open, ran := map[AttemptID]bool{}, false
		pick := func() AttemptID { return AttemptID(rapid.IntRange(1, int(next)+1).Draw(t, "attempt")) }
		t.Repeat(map[string]func(*rapid.T){
			"sent": func(*rapid.T) {
				next++
				life.RecordSent(next)
				open[next] = true
			},
			"not run": func(*rapid.T) {
				id := pick()
				life.RecordNotRun(id)
				delete(open, id)
			},
			"ended": func(*rapid.T) {
				id := pick()
				life.RecordEnded(id)
				ran = ran || open[id]
				delete(open, id)
			},
			"": func(*rapid.T) {
				must.Eq(t, !ran && len(open) == 0, life.NotRunProof().Valid())
				if cur := life.Current(); cur != 0 {
					must.True(t, open[cur], must.Sprint("the current attempt is open"))
				}
			},
		})
	})
}

func TestRequestEndsOnce(t *testing.T) {
	life := New(0)
	life.RecordSent(1)
	must.True(t, life.End())
	must.False(t, life.End())
	must.Zero(t, life.Current())
}

func TestClassesByTokens(t *testing.T) {
	for tokens, want := range map[int]Class{
		0: ClassShort, MaxShortTokens: ClassShort, MaxShortTokens + 1: ClassMedium, MaxMediumTokens: ClassMedium,
		MaxMediumTokens + 1: ClassLong, MaxLongTokens: ClassLong, MaxLongTokens + 1: ClassHuge, 1 << 20: ClassHuge,
	} {
		must.Eq(t, want, ClassOf(tokens), must.Sprint(tokens))
	}
}
