package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	root   = "../../.."
	module = "swiftdeal/"
	page   = root + "/docs/ARCHITECTURE.md"
)

// imports returns, for each package of the module, the packages of the module that it imports. Paths are relative to the module.
func imports(t *testing.T) map[string][]string {
	t.Helper()
	command := exec.Command("go", "list", "-f", `{{.ImportPath}}{{range .Imports}} {{.}}{{end}}`, "./...")
	command.Dir = root
	out, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	graph := map[string][]string{}
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		list := []string{}
		for _, path := range fields[1:] {
			if strings.HasPrefix(path, module) {
				list = append(list, strings.TrimPrefix(path, module))
			}
		}
		slices.Sort(list)
		graph[strings.TrimPrefix(fields[0], module)] = list
	}
	return graph
}

// readPage returns the text of the page.
func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// packageRow matches a row of the table of packages: the path, what the package does, and its imports within the module.
var packageRow = regexp.MustCompile("(?m)^\\| `([a-z]+/[a-z/]+|balance)` \\| [^|]+ \\| ([^|]+) \\|$")

// The page's table of packages agrees with the import graph: each row with its package, and each package with a row.
func TestPackagesOnThePage(t *testing.T) {
	graph := imports(t)
	rows := map[string]bool{}
	for _, row := range packageRow.FindAllStringSubmatch(readPage(t), -1) {
		path, listed := row[1], []string{}
		rows[path] = true
		if _, ok := graph[path]; !ok {
			t.Errorf("%s: no such package", path)
			continue
		}
		for name := range strings.SplitSeq(row[2], ",") {
			if name = strings.Trim(name, " `"); name != "none" {
				listed = append(listed, name)
			}
		}
		slices.Sort(listed)
		var actual []string
		for _, imported := range graph[path] {
			actual = append(actual, strings.TrimPrefix(imported, "internal/"))
		}
		slices.Sort(actual)
		if !slices.Equal(listed, actual) {
			t.Errorf("%s: the page lists the imports\n%v, the sources have\n%v", path, listed, actual)
		}
	}
	for path := range graph {
		if serves(path) && !rows[path] {
			t.Errorf("%s has no row on the page", path)
		}
	}
}

// serves reports whether a package is part of the deployed programs, not a test rig, a tool or an example.
func serves(path string) bool {
	for _, prefix := range []string{"internal/testing/", "tools/", "example"} {
		if strings.HasPrefix(path, prefix) {
			return false
		}
	}
	return true
}

// Imports that the design forbids: between stages, from the deployed programs to test rigs, and from the decision module to any
// package.
func TestImportRules(t *testing.T) {
	stages := []string{
		"internal/ingress", "internal/admission", "internal/dispatch", "internal/transport", "internal/response", "internal/accounting",
	}
	// The command "swiftdeal cost" runs the rig that measures a node.
	rigsAllowed := map[string]string{"cmd/swiftdeal": "internal/testing/cost"}
	for path, list := range imports(t) {
		for _, imported := range list {
			if slices.Contains(stages, path) && slices.Contains(stages, imported) {
				t.Errorf("%s imports %s: stages do not import one another", path, imported)
			}
			if serves(path) && !serves(imported) && rigsAllowed[path] != imported {
				t.Errorf("%s imports %s: deployed packages import no test rig", path, imported)
			}
			if path == "balance" {
				t.Errorf("balance imports %s: the decision module stands alone", imported)
			}
		}
	}
}

// pure lists the packages that do no input or output, read no clock and use no global source of random numbers, so that the same
// events always give the same actions.
var pure = []string{
	"balance", "internal/membership", "internal/membership/codec", "internal/membership/observation", "internal/controlplane",
	"internal/controlplane/consensus", "internal/controlplane/configversion", "internal/controlplane/disruption",
	"internal/controlplane/rollout",
}

// Imports and calls that a pure package must not have.
var (
	impureImports = []string{"net", "net/http", "os", "os/signal", "log", "log/slog", "syscall", "crypto/rand"}
	impureCalls   = map[string][]string{
		"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
		"rand": {"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Uint64N", "Float64", "Perm", "Shuffle", "NormFloat64", "ExpFloat64", "N"},
	}
)

// Pure packages neither import packages for input and output nor call functions that read the clock or global random numbers.
func TestPurePackages(t *testing.T) {
	for _, path := range pure {
		for name, file := range parse(t, filepath.Join(root, path)) {
			for _, imported := range file.Imports {
				if slices.Contains(impureImports, strings.Trim(imported.Path.Value, `"`)) {
					t.Errorf("%s imports %s", name, imported.Path.Value)
				}
			}
			ast.Inspect(file, func(node ast.Node) bool {
				selector, ok := node.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				if of, ok := selector.X.(*ast.Ident); ok && of.Obj == nil && slices.Contains(impureCalls[of.Name], selector.Sel.Name) {
					t.Errorf("%s uses %s.%s", name, of.Name, selector.Sel.Name)
				}
				return true
			})
		}
	}
}

// parse parses the source files in a folder except its tests, by path.
func parse(t *testing.T, dir string) map[string]*ast.File {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(names) == 0 {
		t.Fatalf("%s: no sources (%v)", dir, err)
	}
	files := map[string]*ast.File{}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		files[name] = file
	}
	return files
}

// declaredNames returns all names that the module declares, as package.Name and package.Type.Member. Packages are given by name,
// without their path.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.IsDir() || strings.HasPrefix(entry.Name(), ".") && path != root || entry.Name() == "testdata" {
			if entry != nil && entry.IsDir() {
				return fs.SkipDir
			}
			return err
		}
		if sources, _ := filepath.Glob(filepath.Join(path, "*.go")); len(sources) == 0 {
			return nil
		}
		for _, file := range parse(t, path) {
			for _, declaration := range file.Decls {
				maps.Copy(names, declared(file.Name.Name, declaration))
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// declared returns the names of one declaration.
func declared(packageName string, declaration ast.Decl) map[string]bool {
	names := map[string]bool{}
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		receiver := ""
		if d.Recv != nil {
			receiver = typeName(d.Recv.List[0].Type) + "."
		}
		names[packageName+"."+receiver+d.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.TypeSpec:
				names[packageName+"."+s.Name.Name] = true
				for _, member := range members(s.Type) {
					names[packageName+"."+s.Name.Name+"."+member] = true
				}
			case *ast.ValueSpec:
				for _, name := range s.Names {
					names[packageName+"."+name.Name] = true
				}
			}
		}
	}
	return names
}

// members returns the fields of a struct or the methods of an interface.
func members(expression ast.Expr) (names []string) {
	var list *ast.FieldList
	switch t := expression.(type) {
	case *ast.StructType:
		list = t.Fields
	case *ast.InterfaceType:
		list = t.Methods
	default:
		return nil
	}
	for _, field := range list.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

// typeName returns the name of a receiver's type.
func typeName(expression ast.Expr) string {
	switch t := expression.(type) {
	case *ast.StarExpr:
		return typeName(t.X)
	case *ast.IndexExpr:
		return typeName(t.X)
	case *ast.Ident:
		return t.Name
	}
	return ""
}

var (
	goName   = regexp.MustCompile("`([a-z]+(?:\\.[A-Za-z]\\w*)+)(?:\\(\\))?`")
	filePath = regexp.MustCompile("`((?:internal|balance|cmd|docs|tools|deploy|example)(?:/[\\w.-]+)*)`")
)

// Lower limits of what the page shows: one that has lost its contents must not pass.
const (
	minNames    = 60
	minSections = 8
)

// Each `package.Name` on the page is declared, and each path exists.
func TestNamesOnThePage(t *testing.T) {
	text := readPage(t)
	names, found := declaredNames(t), 0
	packages := map[string]bool{}
	for name := range names {
		packageName, _, _ := strings.Cut(name, ".")
		packages[packageName] = true
	}
	for _, match := range goName.FindAllStringSubmatch(text, -1) {
		packageName, _, _ := strings.Cut(match[1], ".")
		if !packages[packageName] || strings.HasSuffix(match[1], ".go") {
			continue // of a library, or a file
		}
		found++
		if !names[match[1]] {
			t.Errorf("the page names %s, which is not declared", match[1])
		}
	}
	for _, match := range filePath.FindAllStringSubmatch(text, -1) {
		if _, err := os.Stat(filepath.Join(root, match[1])); err != nil {
			t.Errorf("the page names %s: %v", match[1], err)
		}
	}
	if found < minNames || strings.Count(text, "\n## ") < minSections {
		t.Errorf("the page has only %d names, or too few sections", found)
	}
}
