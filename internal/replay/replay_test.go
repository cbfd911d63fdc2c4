package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestTracesProduceExpectedOutcomes(t *testing.T) {
	files, err := filepath.Glob("../../testdata/traces/*.jsonl")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	for _, file := range files {
		f, err := os.Open(file)
		must.NoError(t, err)
		report, err := Run(f)
		must.NoError(t, f.Close())
		must.NoError(t, err, must.Sprint(file))
		must.SliceEmpty(t, report.Differences, must.Sprint(file))
	}
}

func TestOutcomeDifferencesAreReported(t *testing.T) {
	data, err := os.ReadFile("../../testdata/traces/double-resend.jsonl")
	must.NoError(t, err)
	trace := string(data)
	for name, changed := range map[string]string{
		"other code":       strings.Replace(trace, `"code":1001`, `"code":1000`, 1),
		"other sends":      strings.Replace(trace, `"sends":0`, `"sends":1`, 1),
		"outcome left out": trace[:strings.LastIndex(strings.TrimSpace(trace), "\n")],
		"unknown arrival":  trace + `{"outcome":{"instance":"entry-0","incarnation":1,"request":9,"code":1000,"sends":1}}`,
		"unmatched answer": trace + `{"at":99000000000,"instance":"entry-0","kind":"store-reply","to":{"op":"get","key":"x"},"body":{}}`,
	} {
		report, err := Run(strings.NewReader(changed))
		must.NoError(t, err, must.Sprint(name))
		must.SliceLen(t, 1, report.Differences, must.Sprint(name))
	}
}

func TestConfigurationDifferencesAreReported(t *testing.T) {
	data, err := os.ReadFile("../../testdata/traces/configuration-race.jsonl")
	must.NoError(t, err)
	trace := string(data)
	for name, changed := range map[string]string{
		"other verdict":  strings.Replace(trace, `"outcome":"not-accepted"`, `"outcome":"accepted"`, 1),
		"other revision": strings.Replace(trace, `"in_force":{"instance":"entry-001","revision":2}`, `"in_force":{"instance":"entry-001","revision":3}`, 1),
	} {
		must.NotEq(t, trace, changed, must.Sprint(name))
		report, err := Run(strings.NewReader(changed))
		must.NoError(t, err, must.Sprint(name))
		must.SliceLen(t, 1, report.Differences, must.Sprint(name))
	}
}

func TestInvalidTracesReturnErrors(t *testing.T) {
	for name, trace := range map[string]string{
		"no JSON":          "{",
		"no outcome":       `{"trace":"x"}`,
		"unknown instance": `{"at":1,"instance":"e","kind":"tick"}`,
		"unknown kind":     `{"instance":"e","kind":"start","options":{}}` + "\n" + `{"instance":"e","kind":"nothing"}`,
		"no options":       `{"instance":"e","kind":"start"}`,
	} {
		_, err := Run(strings.NewReader(trace))
		must.Error(t, err, must.Sprint(name))
	}
}
