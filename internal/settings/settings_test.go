package settings

import (
	"errors"
	"flag"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

type exampleSettings struct {
	name  string
	peers []string
	limit int
	share float64
	lag   time.Duration
	on    bool
}

func newExampleSet(env map[string]string) (*Set, *exampleSettings) {
	s, x := New("example", io.Discard), &exampleSettings{}
	s.lookup = func(name string) (string, bool) { v, ok := env[name]; return v, ok }
	s.String(&x.name, "name", "", "")
	s.List(&x.peers, "peer-addresses", "")
	s.Int(&x.limit, "limit", 3, "")
	s.Float(&x.share, "share", 0.5, "")
	s.Duration(&x.lag, "stop-lag", time.Second, "")
	s.Bool(&x.on, "on", "")
	s.Require("name")
	return s, x
}

func TestFlagOverridesVariableAndDefault(t *testing.T) {
	s, x := newExampleSet(map[string]string{
		"MEDLARDECK_NAME": "from-env", "MEDLARDECK_LIMIT": "7", "MEDLARDECK_PEER_ADDRESSES": "a:1, b:2,",
		"MEDLARDECK_STOP_LAG": "broken, but the flag wins",
	})
	must.NoError(t, s.Parse([]string{"-stop-lag", "2s", "-on"}))
	must.True(t, reflect.DeepEqual(exampleSettings{name: "from-env", peers: []string{"a:1", "b:2"}, limit: 7, share: 0.5, lag: 2 * time.Second, on: true}, *x))
}

func TestParseReportsEveryError(t *testing.T) {
	s, _ := newExampleSet(map[string]string{"MEDLARDECK_SHARE": "NaN"})
	s.Together("name", "limit")
	s.Check(func() error { return errors.New("own check") })
	err := s.Parse([]string{"-limit", "-1", "-stop-lag=soon", "-on=maybe", "extra"})
	must.Error(t, err)
	for _, want := range []string{
		"-limit: \"-1\"", "-stop-lag: \"soon\"", "-on: \"maybe\"", "MEDLARDECK_SHARE: \"NaN\"", `"extra"`,
		"-name or MEDLARDECK_NAME is required", "-limit needs -name", "own check",
	} {
		must.StrContains(t, err.Error(), want)
	}
	must.Eq(t, 8, len(strings.Split(err.Error(), "\n")))
}

func TestHelpReturnsErrHelp(t *testing.T) {
	s, _ := newExampleSet(nil)
	must.ErrorIs(t, s.Parse([]string{"-h"}), flag.ErrHelp)
}
