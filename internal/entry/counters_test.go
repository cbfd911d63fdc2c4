package entry

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// counterRow returns the table row that docs/METRICS.md must have for a counter.
func counterRow(c CounterInfo) string {
	reasons := make([]string, len(c.Reasons))
	for i, r := range c.Reasons {
		reasons[i] = "`" + r + "`"
		if r == "" {
			reasons[i] = "(none)"
		}
	}
	return fmt.Sprintf("| `medlardeck_%s_total` | %s | %s |", c.Name, c.Meaning, strings.Join(reasons, ", "))
}

// The counter rows of docs/METRICS.md must equal those of Counters(), in the same
// order.
func TestMetricsPageMatchesCounters(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	must.NoError(t, err)
	var rows, want []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `medlardeck_") && strings.Contains(line, "_total`") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	for _, c := range Counters() {
		want = append(want, counterRow(c))
	}
	must.Eq(t, want, rows)
}

func TestMetricsPageListsEveryGauge(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	must.NoError(t, err)
	e := newTestEntry()
	for _, g := range Gauges() {
		must.StrContains(t, string(page), fmt.Sprintf("| `medlardeck_%s` | %s |", g.Name, g.Meaning))
		must.GreaterEq(t, 0, e.GaugeValue(g))
	}
}

// Every constant of this package and of package booking whose name starts with
// Counter must be in Counters, or its metric would be undocumented.
func TestEveryCounterIsListed(t *testing.T) {
	listed := map[string]bool{}
	for _, c := range Counters() {
		listed[c.Name] = true
	}
	found := 0
	for _, pattern := range []string{"*.go", "../booking/*.go"} {
		files, err := filepath.Glob(pattern)
		must.NoError(t, err)
		for _, file := range files {
			for name, value := range counterConstants(t, file) {
				found++
				must.True(t, listed[value], must.Sprintf("%s: %s = %q is missing in Counters and docs/METRICS.md", file, name, value))
			}
		}
	}
	must.Eq(t, len(listed), found)
}

// counterConstants returns the values of the string constants in a file whose
// names start with Counter, by name.
func counterConstants(t *testing.T, file string) map[string]string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	must.NoError(t, err)
	constants := map[string]string{}
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, "Counter") {
			return true
		}
		if lit, ok := spec.Values[0].(*ast.BasicLit); ok && lit.Kind == token.STRING {
			constants[spec.Names[0].Name], err = strconv.Unquote(lit.Value)
			must.NoError(t, err)
		}
		return true
	})
	return constants
}
