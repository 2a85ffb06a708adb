package config

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"mimosarelay/core/store"
)

// maxNesting bounds nested collections and indentation. The parser is
// recursive, and a stack overflow cannot be recovered from.
const maxNesting = 64

// Bounds of the number of fields in one mapping and of list elements in a
// file. The time of the parser grows with the square of both: 16,000 fields of
// one mapping took 0.4 s, and 350,000 took more than 20 s.
const (
	maxFields   = 1000
	maxElements = 100_000
)

var durationType = reflect.TypeFor[time.Duration]()

// Decode reads strict YAML into the struct that dst points to. Fields are
// named by their yaml tags; those without "omitempty" are required. The
// returned report holds every unknown, missing, repeated or mistyped field;
// fields without faults are set.
func Decode(data []byte, file string, dst any) *Report {
	r := &Report{file: file, lines: map[string]int{}, bad: map[string]bool{}}
	body, ok := r.parse(data)
	if !ok {
		return r
	}
	v := reflect.ValueOf(dst).Elem()
	if body == nil {
		r.missing("", nil, v)
		return r
	}
	r.lines[""] = body.GetToken().Position.Line
	r.fill("", body, v)
	return r
}

// parse returns the root node, which is nil in an empty file.
func (r *Report) parse(data []byte) (body ast.Node, ok bool) {
	// The YAML parser may panic on malformed text; that must not end a host.
	defer func() {
		if p := recover(); p != nil {
			r.add(1, "", fmt.Sprintf("invalid YAML: %v", p))
			body, ok = nil, false
		}
	}()
	if len(data) > store.MaxValue {
		r.add(1, "", fmt.Sprintf("file has %d bytes; at most %d are allowed", len(data), store.MaxValue))
		return nil, false
	}
	tokens := lexer.Tokenize(string(data))
	if !r.supported(tokens) {
		return nil, false
	}
	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.syntax(err)
		return nil, false
	}
	return r.single(f)
}

func (r *Report) syntax(err error) {
	var s *yaml.SyntaxError
	if errors.As(err, &s) && s.Token != nil {
		r.add(s.Token.Position.Line, "", "invalid YAML: "+s.Message)
		return
	}
	r.add(1, "", "invalid YAML: "+err.Error())
}

// single returns the body of the only document in the file.
func (r *Report) single(f *ast.File) (ast.Node, bool) {
	var body ast.Node
	for _, d := range f.Docs {
		if d.Body == nil {
			continue
		}
		if body != nil {
			r.add(d.Body.GetToken().Position.Line, "", "a second YAML document; exactly one is allowed")
			return nil, false
		}
		body = d.Body
	}
	return body, true
}

// supported rejects the features of YAML that are not part of the format, and
// shapes that would cost the parser too much time or stack.
func (r *Report) supported(tokens token.Tokens) bool {
	var u usage
	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.MappingKeyType, token.DirectiveType:
			r.add(t.Position.Line, "", fmt.Sprintf("%q: anchors, aliases, tags, directives, merge keys and complex keys are not allowed", t.Value))
			return false
		}
		if problem := u.count(t); problem != "" {
			r.add(t.Position.Line, "", problem)
			return false
		}
	}
	return true
}

// usage counts what the bounds above limit.
type usage struct {
	elements int
	// block holds the fields of the open block mappings by the column of
	// their keys.
	block [maxNesting + 2]int
	// flow holds the fields of the open collections in braces or brackets.
	flow []int
}

// count adds a token and returns which bound it exceeds, or "".
func (u *usage) count(t *token.Token) string {
	fields := 0
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		u.flow = append(u.flow, 0)
	case token.SequenceEndType, token.MappingEndType:
		u.flow = u.flow[:max(len(u.flow)-1, 0)]
	case token.CollectEntryType:
		u.elements++
	case token.SequenceEntryType:
		u.elements++
		clear(u.block[min(t.Position.Column+1, len(u.block)):])
	case token.MappingValueType:
		fields = u.countField(t)
	}
	deep := len(u.flow) > maxNesting || t.Position.IndentNum > maxNesting
	switch {
	case deep, t.Type == token.SequenceEntryType && t.Position.Column > maxNesting:
		return fmt.Sprintf("nested too deeply; at most %d levels and columns of indentation are allowed", maxNesting)
	case fields > maxFields:
		return fmt.Sprintf("too many fields; at most %d are allowed in a mapping", maxFields)
	case u.elements > maxElements:
		return fmt.Sprintf("too many list elements; at most %d are allowed in a file", maxElements)
	}
	return ""
}

// countField returns the number of fields so far in the mapping of the colon.
func (u *usage) countField(colon *token.Token) int {
	if n := len(u.flow); n > 0 {
		u.flow[n-1]++
		return u.flow[n-1]
	}
	column := 0
	if colon.Prev != nil {
		column = min(colon.Prev.Position.Column, len(u.block)-1)
	}
	clear(u.block[column+1:])
	u.block[column]++
	return u.block[column]
}

// fill sets v from the node.
func (r *Report) fill(path string, n ast.Node, v reflect.Value) {
	switch {
	case v.Type() == durationType:
		r.fillDuration(path, n, v)
	case v.Kind() == reflect.Struct:
		r.fillStruct(path, n, v)
	case v.Kind() == reflect.Slice:
		r.fillSlice(path, n, v)
	default:
		r.fillScalar(path, n, v)
	}
}

func (r *Report) fillStruct(path string, n ast.Node, v reflect.Value) {
	values, ok := pairs(n)
	if !ok {
		r.Addf(path, "must be a mapping with the fields %s", strings.Join(fieldNames(v.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for _, p := range values {
		name := p.Key.GetToken().Value
		field := join(path, name)
		line := p.Key.GetToken().Position.Line
		i, known := fieldIndex(v.Type(), name)
		switch {
		case !known:
			r.lines[field] = line
			r.Addf(field, "unknown field; allowed are %s", strings.Join(fieldNames(v.Type()), ", "))
		case seen[name]:
			r.add(line, field, fmt.Sprintf("appears a second time; the first is in line %d", r.lines[field]))
		default:
			seen[name] = true
			r.lines[field] = line
			r.fill(field, p.Value, v.Field(i))
		}
	}
	r.missing(path, seen, v)
}

// missing reports the required fields of the struct that were not seen.
func (r *Report) missing(path string, seen map[string]bool, v reflect.Value) {
	for f := range v.Type().Fields() {
		name, required := tag(f)
		if required && !seen[name] {
			r.Addf(join(path, name), "missing; it must be %s", expected(f.Type))
		}
	}
}

func (r *Report) fillSlice(path string, n ast.Node, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		r.Addf(path, "must be %s", expected(v.Type()))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, e := range s.Values {
		p := fmt.Sprintf("%s[%d]", path, i)
		r.lines[p] = e.GetToken().Position.Line
		r.fill(p, e, list.Index(i))
	}
	v.Set(list)
}

func (r *Report) fillScalar(path string, n ast.Node, v reflect.Value) {
	if !setScalar(n, v) {
		r.Addf(path, "%s is not allowed; it must be %s", shown(n), expected(v.Type()))
	}
}

func (r *Report) fillDuration(path string, n ast.Node, v reflect.Value) {
	if s, ok := n.(*ast.StringNode); ok {
		d, err := time.ParseDuration(s.Value)
		if err == nil {
			v.SetInt(int64(d))
			return
		}
	}
	r.Addf(path, "%s is not allowed; it must be %s", shown(n), expected(v.Type()))
}

// setScalar reports whether the node has the type of v and fits into it.
func setScalar(n ast.Node, v reflect.Value) bool {
	switch v.Kind() {
	case reflect.String:
		s, ok := text(n)
		if ok {
			v.SetString(s)
		}
		return ok
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if ok {
			v.SetBool(b.Value)
		}
		return ok
	case reflect.Float64:
		f, ok := number(n)
		if ok {
			v.SetFloat(f)
		}
		return ok
	default:
		return setInteger(n, v)
	}
}

func text(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	}
	return "", false
}

func number(n ast.Node) (float64, bool) {
	switch f := n.(type) {
	case *ast.FloatNode:
		return f.Value, !math.IsInf(f.Value, 0) && !math.IsNaN(f.Value)
	case *ast.IntegerNode:
		switch i := decimal(f).(type) {
		case int64:
			return float64(i), true
		case uint64:
			return float64(i), true
		}
	}
	return 0, false
}

// decimal returns the int64 or uint64 of a decimal integer. Other notations
// are rejected because 0100 would silently mean 64.
func decimal(n *ast.IntegerNode) any {
	if n.Token.Type != token.IntegerType {
		return nil
	}
	return n.Value
}

func setInteger(n ast.Node, v reflect.Value) bool {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		return false
	}
	var signed int64
	var unsigned uint64
	negative := false
	switch x := decimal(i).(type) {
	case int64:
		signed, unsigned, negative = x, uint64(x), x < 0
	case uint64:
		signed, unsigned = int64(x), x
	default:
		return false
	}
	if v.CanUint() {
		if negative || v.OverflowUint(unsigned) {
			return false
		}
		v.SetUint(unsigned)
		return true
	}
	if signed < 0 && !negative || v.OverflowInt(signed) {
		return false
	}
	v.SetInt(signed)
	return true
}

// pairs returns the entries of a mapping.
func pairs(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	}
	return nil, false
}

// shown returns the text of a scalar for an error message.
func shown(n ast.Node) string {
	const most = 40 // characters; a whole block of text would hide the message
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "no value"
	}
	s := []rune(n.GetToken().Value)
	if len(s) > most {
		return fmt.Sprintf("%q...", string(s[:most]))
	}
	return fmt.Sprintf("%q", string(s))
}

// expected describes the values that a type allows.
func expected(t reflect.Type) string {
	if t == durationType {
		return "a duration such as 30s or 1h30m"
	}
	switch t.Kind() {
	case reflect.Struct:
		return "a mapping with the fields " + strings.Join(fieldNames(t), ", ")
	case reflect.Slice:
		return "a list (- a, - b); each element is " + expected(t.Elem())
	case reflect.String:
		return "text (in quotes where YAML would read a number, true, false or null)"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a finite decimal number"
	}
	low, high := integerRange(t)
	return fmt.Sprintf("a decimal integer from %s to %s", low, high)
}

func integerRange(t reflect.Type) (low, high string) {
	if t.Kind() >= reflect.Uint && t.Kind() <= reflect.Uint64 {
		return "0", fmt.Sprint(uint64(math.MaxUint64) >> (64 - t.Bits()))
	}
	most := int64(math.MaxInt64) >> (64 - t.Bits())
	return fmt.Sprint(-most - 1), fmt.Sprint(most)
}

// tag returns the YAML name of a field and whether the field is required.
func tag(f reflect.StructField) (name string, required bool) {
	name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name, !strings.Contains(options, "omitempty")
}

func fieldIndex(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if n, _ := tag(t.Field(i)); n == name {
			return i, true
		}
	}
	return 0, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for f := range t.Fields() {
		n, _ := tag(f)
		names = append(names, n)
	}
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
