package prefix

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
)

func TestHashCoversWholePrefix(t *testing.T) {
	prompt := bytes.Repeat([]byte("drying locker "), 500)
	all := Hashes("draft", prompt, 0)
	must.Eq(t, len(prompt)/BlockBytes, len(all))
	must.Eq(t, all[:2], Hashes("draft", prompt, 2))
	must.NotEq(t, all[0], Hashes("review", prompt, 1)[0])

	changed := bytes.Clone(prompt)
	changed[BlockBytes] ^= 1
	other := Hashes("draft", changed, 0)
	must.Eq(t, all[0], other[0])
	for i := 1; i < len(all); i++ {
		must.NotEq(t, all[i], other[i])
	}
	must.Nil(t, Hashes("draft", prompt[:BlockBytes-1], 0))
}
