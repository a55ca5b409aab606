package entry

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/verdict"
)

// declaredCodes returns the values of all constants of type verdict.Code.
func declaredCodes(t *testing.T) []verdict.Code {
	file, err := parser.ParseFile(token.NewFileSet(), "../../pkg/verdict/code.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)
	var codes []verdict.Code
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		qt.Assert(t, ok, qt.IsTrue)
		code, err := strconv.Unquote(literal.Value)
		qt.Assert(t, err, qt.IsNil)
		codes = append(codes, verdict.Code(code))
		return false
	})
	return codes
}

// TestRefusalsPage checks that the page on refusals in the operations documentation
// has one table row for each code, with its HTTP status.
func TestRefusalsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/refusals.md")
	qt.Assert(t, err, qt.IsNil)
	codes := declaredCodes(t)
	qt.Assert(t, codes, qt.Contains, verdict.Internal)
	for _, code := range codes {
		status, ok := httpStatuses[code]
		if !ok {
			status = http.StatusServiceUnavailable
		}
		row := fmt.Sprintf("(?m)^\\| `%s` \\| %d \\| [^|]+ \\| [^|]+ \\| [^|]+ \\|$", code, status)
		qt.Check(t, len(regexp.MustCompile(row).FindAll(page, -1)), qt.Equals, 1, qt.Commentf("code %s, status %d", code, status))
	}
}
