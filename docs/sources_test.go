package docs

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

// sources holds the declarations in the Go files below a root, tests included.
type sources struct {
	root     string
	packages map[string]*declarations // by directory name
	words    map[string]bool          // all declared names, and all names in JSON tags
	tags     map[string]string        // JSON or TOML names, by field as package.Type.Field; without a tag, the field's own name
	literals map[string]bool          // string literals, except in tests
}

// declarations holds the names of one package, and the packages below internal that it imports.
type declarations struct {
	name    string
	names   map[string]bool            // in the package's scope
	members map[string]map[string]bool // fields and methods, by type
	imports map[string]bool            // except in tests
}

// readSources parses the Go files below internal and cmd.
func readSources(t *testing.T, root string) *sources {
	t.Helper()
	s := &sources{root: root, packages: map[string]*declarations{}, words: map[string]bool{}, tags: map[string]string{}, literals: map[string]bool{}}
	files := token.NewFileSet()
	for _, top := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(name string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(name) != ".go" {
				return err
			}
			file, err := parser.ParseFile(files, name, nil, parser.SkipObjectResolution)
			if err != nil {
				return fmt.Errorf("read sources: %w", err)
			}
			pkg := filepath.Base(filepath.Dir(name))
			s.addDeclarations(pkg, file)
			if !strings.HasSuffix(name, "_test.go") {
				s.addImports(pkg, file)
				s.addLiterals(file)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// declarationsOf returns the declarations of a package. It creates them if the package is new.
func (s *sources) declarationsOf(pkg string) *declarations {
	d := s.packages[pkg]
	if d == nil {
		d = &declarations{name: pkg, names: map[string]bool{}, members: map[string]map[string]bool{}, imports: map[string]bool{}}
		s.packages[pkg] = d
	}
	return d
}

// addImports adds the packages below internal that a file imports.
func (s *sources) addImports(pkg string, file *ast.File) {
	for _, spec := range file.Imports {
		if _, name, ok := strings.Cut(strings.Trim(spec.Path.Value, `"`), "/internal/"); ok {
			s.declarationsOf(pkg).imports[name] = true
		}
	}
}

func (s *sources) addLiterals(file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				s.literals[text] = true
			}
		}
		return true
	})
}

func (s *sources) addDeclarations(pkg string, file *ast.File) {
	d := s.declarationsOf(pkg)
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			s.addFunction(d, declaration)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				s.addSpec(d, spec)
			}
		}
	}
}

func (s *sources) addFunction(d *declarations, function *ast.FuncDecl) {
	if function.Recv == nil {
		s.addName(d, function.Name)
		return
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		s.addMember(d, name.Name, function.Name)
	}
}

func (s *sources) addSpec(d *declarations, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			s.addName(d, name)
		}
	case *ast.TypeSpec:
		s.addName(d, spec.Name)
		switch definition := spec.Type.(type) {
		case *ast.StructType:
			s.addFields(d, spec.Name.Name, definition.Fields)
		case *ast.InterfaceType:
			s.addFields(d, spec.Name.Name, definition.Methods)
		}
	}
}

func (s *sources) addFields(d *declarations, owner string, fields *ast.FieldList) {
	for _, field := range fields.List {
		wireName := wireNameOf(field)
		s.words[wireName] = true
		for _, name := range field.Names {
			s.addMember(d, owner, name)
			s.tags[d.name+"."+owner+"."+name.Name] = cmp.Or(wireName, name.Name)
		}
	}
}

// wireNameOf returns a field's JSON or TOML name from its tag; empty if it has no such tag.
func wireNameOf(field *ast.Field) string {
	if field.Tag == nil {
		return ""
	}
	text, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return ""
	}
	tag := reflect.StructTag(text)
	name, _, _ := strings.Cut(cmp.Or(tag.Get("json"), tag.Get("toml")), ",")
	return name
}

func (s *sources) addName(d *declarations, name *ast.Ident) {
	d.names[name.Name] = true
	s.words[name.Name] = true
}

func (s *sources) addMember(d *declarations, owner string, name *ast.Ident) {
	if d.members[owner] == nil {
		d.members[owner] = map[string]bool{}
	}
	d.members[owner][name.Name] = true
	s.words[name.Name] = true
}

// problems returns the names of code in a page that are not in the sources, each with its line number.
func (s *sources) problems(text string) []string {
	var found []string
	for _, reference := range findReferences(text) {
		if !s.has(reference) {
			found = append(found, fmt.Sprintf("%d: %s is not in the sources", reference.line, reference.name))
		}
	}
	return found
}

// has reports whether the sources have the name that a page refers to.
func (s *sources) has(reference reference) bool {
	switch reference.form {
	case pathForm:
		return s.hasPath(reference.name)
	case qualifiedForm:
		return s.hasQualified(reference.name)
	case wordForm:
		return s.words[reference.name]
	}
	return false
}

// hasPath reports whether a path exists below the root, or below internal.
func (s *sources) hasPath(name string) bool {
	for _, candidate := range []string{name, path.Join("internal", name)} {
		if _, err := os.Stat(filepath.Join(s.root, filepath.FromSlash(candidate))); err == nil {
			return true
		}
	}
	return false
}

func (s *sources) hasQualified(name string) bool {
	parts := strings.Split(name, ".")
	d := s.packages[parts[0]]
	switch {
	case d == nil:
		return false
	case len(parts) == 2:
		return d.names[parts[1]]
	}
	return d.members[parts[1]][parts[2]]
}
