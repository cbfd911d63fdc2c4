package engineclient

import (
	"io"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

func TestBodyReaderReturnsAllParts(t *testing.T) {
	for _, body := range []Body{nil, {}, {nil}, {[]byte("ab"), nil, []byte("cde")}, {nil, []byte("x")}} {
		var want []byte
		for _, part := range body {
			want = append(want, part...)
		}
		must.Eq(t, int64(len(want)), body.Len())
		must.NoError(t, iotest.TestReader(body.Reader(), want))
		again, err := io.ReadAll(iotest.OneByteReader(body.Reader()))
		must.NoError(t, err)
		must.Eq(t, string(want), string(again))
	}
}
