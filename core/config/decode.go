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

// maxNesting limits the depth of nested collections and the columns of
// indentation. The parser is recursive, and a stack overflow would end the
// process because Go cannot recover from it.
const maxNesting = 64

// Limits on the fields of one mapping and on the list elements of a file. The
// parsing time is quadratic in both: a mapping of 16,000 fields took 0.4 s, one
// of 350,000 more than 20 s.
const (
	maxFields   = 1000
	maxElements = 100_000
)

var durationType = reflect.TypeFor[time.Duration]()

// Decode decodes YAML into the struct that dst points to. It is strict: fields
// are named by their yaml tags, those without "omitempty" are required, and the
// returned report lists every unknown, missing, duplicate or mistyped field.
// Fields without faults are set.
func Decode(data []byte, file string, dst any) *Report {
	r := &Report{file: file, lines: map[string]int{}, faulty: map[string]bool{}}
	body, ok := r.parseRoot(data)
	if !ok {
		return r
	}
	v := reflect.ValueOf(dst).Elem()
	if body == nil {
		r.checkRequired("", nil, v)
		return r
	}
	r.lines[""] = body.GetToken().Position.Line
	r.decodeValue("", body, v)
	return r
}

// parseRoot returns the root node of the file, or nil if the file is empty.
func (r *Report) parseRoot(data []byte) (body ast.Node, ok bool) {
	// The YAML parser may panic on malformed input, which must not terminate the
	// process.
	defer func() {
		if p := recover(); p != nil {
			r.addFault(1, "", fmt.Sprintf("invalid YAML: %v", p))
			body, ok = nil, false
		}
	}()
	if len(data) > store.MaxValue {
		r.addFault(1, "", fmt.Sprintf("file has %d bytes; at most %d are allowed", len(data), store.MaxValue))
		return nil, false
	}
	tokens := lexer.Tokenize(string(data))
	if !r.checkTokens(tokens) {
		return nil, false
	}
	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.addSyntaxError(err)
		return nil, false
	}
	return r.singleDocument(f)
}

func (r *Report) addSyntaxError(err error) {
	var s *yaml.SyntaxError
	if errors.As(err, &s) && s.Token != nil {
		r.addFault(s.Token.Position.Line, "", "invalid YAML: "+s.Message)
		return
	}
	r.addFault(1, "", "invalid YAML: "+err.Error())
}

// singleDocument returns the body of the only document in the file.
func (r *Report) singleDocument(f *ast.File) (ast.Node, bool) {
	var body ast.Node
	for _, d := range f.Docs {
		if d.Body == nil {
			continue
		}
		if body != nil {
			r.addFault(d.Body.GetToken().Position.Line, "", "a second YAML document; exactly one is allowed")
			return nil, false
		}
		body = d.Body
	}
	return body, true
}

// checkTokens rejects YAML features that the format does not support, and
// input that would take the parser too much time or stack.
func (r *Report) checkTokens(tokens token.Tokens) bool {
	var c fieldCounter
	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.MappingKeyType, token.DirectiveType:
			r.addFault(t.Position.Line, "", fmt.Sprintf("%q: anchors, aliases, tags, directives, merge keys and complex keys are not allowed", t.Value))
			return false
		}
		if problem := c.count(t); problem != "" {
			r.addFault(t.Position.Line, "", problem)
			return false
		}
	}
	return true
}

// fieldCounter counts fields, list elements and nesting levels while it reads
// the tokens of a file.
type fieldCounter struct {
	elements int
	// blockFields holds the number of fields of each open block mapping, by
	// the column of its keys.
	blockFields [maxNesting + 2]int
	// flowFields holds the number of fields of each open flow collection (in
	// braces or brackets), outermost first.
	flowFields []int
}

// count adds a token and describes the limit that it exceeds. It returns "" if
// it exceeds none.
func (c *fieldCounter) count(t *token.Token) string {
	fields := 0
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		c.flowFields = append(c.flowFields, 0)
	case token.SequenceEndType, token.MappingEndType:
		c.flowFields = c.flowFields[:max(len(c.flowFields)-1, 0)]
	case token.CollectEntryType:
		c.elements++
	case token.SequenceEntryType:
		c.elements++
		clear(c.blockFields[min(t.Position.Column+1, len(c.blockFields)):])
	case token.MappingValueType:
		fields = c.countField(t)
	}
	tooDeep := len(c.flowFields) > maxNesting || t.Position.IndentNum > maxNesting
	switch {
	case tooDeep, t.Type == token.SequenceEntryType && t.Position.Column > maxNesting:
		return fmt.Sprintf("nested too deeply; at most %d levels and columns of indentation are allowed", maxNesting)
	case fields > maxFields:
		return fmt.Sprintf("too many fields; at most %d are allowed in a mapping", maxFields)
	case c.elements > maxElements:
		return fmt.Sprintf("too many list elements; at most %d are allowed in a file", maxElements)
	}
	return ""
}

// countField counts the field that the colon belongs to and returns the number
// of fields of its mapping so far.
func (c *fieldCounter) countField(colon *token.Token) int {
	if n := len(c.flowFields); n > 0 {
		c.flowFields[n-1]++
		return c.flowFields[n-1]
	}
	column := 0
	if colon.Prev != nil {
		column = min(colon.Prev.Position.Column, len(c.blockFields)-1)
	}
	clear(c.blockFields[column+1:])
	c.blockFields[column]++
	return c.blockFields[column]
}

// decodeValue sets v, the value at path, from the node.
func (r *Report) decodeValue(path string, n ast.Node, v reflect.Value) {
	switch {
	case v.Type() == durationType:
		r.decodeDuration(path, n, v)
	case v.Kind() == reflect.Struct:
		r.decodeStruct(path, n, v)
	case v.Kind() == reflect.Slice:
		r.decodeSlice(path, n, v)
	default:
		r.decodeScalar(path, n, v)
	}
}

func (r *Report) decodeStruct(path string, n ast.Node, v reflect.Value) {
	entries, ok := mappingEntries(n)
	if !ok {
		r.Addf(path, "must be a mapping with the fields %s", strings.Join(fieldNames(v.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for _, e := range entries {
		name := e.Key.GetToken().Value
		field := joinPath(path, name)
		line := e.Key.GetToken().Position.Line
		i, known := fieldIndex(v.Type(), name)
		switch {
		case !known:
			r.lines[field] = line
			r.Addf(field, "unknown field; allowed are %s", strings.Join(fieldNames(v.Type()), ", "))
		case seen[name]:
			r.addFault(line, field, fmt.Sprintf("appears a second time; the first is in line %d", r.lines[field]))
		default:
			seen[name] = true
			r.lines[field] = line
			r.decodeValue(field, e.Value, v.Field(i))
		}
	}
	r.checkRequired(path, seen, v)
}

// checkRequired records a fault for each required field of the struct that is
// not in seen.
func (r *Report) checkRequired(path string, seen map[string]bool, v reflect.Value) {
	for f := range v.Type().Fields() {
		name, required := yamlTag(f)
		if required && name != notInFile && !seen[name] {
			r.Addf(joinPath(path, name), "missing; it must be %s", describeType(f.Type))
		}
	}
}

func (r *Report) decodeSlice(path string, n ast.Node, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		r.Addf(path, "must be %s", describeType(v.Type()))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, e := range s.Values {
		p := fmt.Sprintf("%s[%d]", path, i)
		r.lines[p] = e.GetToken().Position.Line
		r.decodeValue(p, e, list.Index(i))
	}
	v.Set(list)
}

func (r *Report) decodeScalar(path string, n ast.Node, v reflect.Value) {
	if !setScalar(n, v) {
		r.Addf(path, "%s is not allowed; it must be %s", describeNode(n), describeType(v.Type()))
	}
}

func (r *Report) decodeDuration(path string, n ast.Node, v reflect.Value) {
	if s, ok := n.(*ast.StringNode); ok {
		d, err := time.ParseDuration(s.Value)
		if err == nil {
			v.SetInt(int64(d))
			return
		}
	}
	r.Addf(path, "%s is not allowed; it must be %s", describeNode(n), describeType(v.Type()))
}

// setScalar sets v from the node. It reports whether the node has the type of v
// and its value is in range.
func setScalar(n ast.Node, v reflect.Value) bool {
	switch v.Kind() {
	case reflect.String:
		s, ok := stringValue(n)
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
		f, ok := floatValue(n)
		if ok {
			v.SetFloat(f)
		}
		return ok
	default:
		return setInteger(n, v)
	}
}

func stringValue(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	}
	return "", false
}

func floatValue(n ast.Node) (float64, bool) {
	switch f := n.(type) {
	case *ast.FloatNode:
		return f.Value, !math.IsInf(f.Value, 0) && !math.IsNaN(f.Value)
	case *ast.IntegerNode:
		switch i := decimalInteger(f).(type) {
		case int64:
			return float64(i), true
		case uint64:
			return float64(i), true
		}
	}
	return 0, false
}

// decimalInteger returns the value of a decimal integer as an int64 or uint64,
// and nil for other notations. They are rejected because 0100 would silently be
// read as octal 64.
func decimalInteger(n *ast.IntegerNode) any {
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
	switch x := decimalInteger(i).(type) {
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

// mappingEntries returns the entries of a mapping node and reports whether the
// node is one.
func mappingEntries(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	}
	return nil, false
}

// describeNode returns the quoted value of a scalar, or the kind of another
// node, for use in an error message.
func describeNode(n ast.Node) string {
	const maxLength = 40 // characters; a long block scalar would make the message hard to read
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "no value"
	}
	s := []rune(n.GetToken().Value)
	if len(s) > maxLength {
		return fmt.Sprintf("%q...", string(s[:maxLength]))
	}
	return fmt.Sprintf("%q", string(s))
}

// describeType describes the values that a type allows, for use in an error
// message.
func describeType(t reflect.Type) string {
	if t == durationType {
		return "a duration such as 30s or 1h30m"
	}
	switch t.Kind() {
	case reflect.Struct:
		return "a mapping with the fields " + strings.Join(fieldNames(t), ", ")
	case reflect.Slice:
		return "a list (- a, - b); each element is " + describeType(t.Elem())
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
	highest := int64(math.MaxInt64) >> (64 - t.Bits())
	return fmt.Sprint(-highest - 1), fmt.Sprint(highest)
}

// notInFile is the YAML name of fields that are not part of a file.
const notInFile = "-"

// yamlTag returns the YAML name of a field and whether the field is required.
func yamlTag(f reflect.StructField) (name string, required bool) {
	name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name, !strings.Contains(options, "omitempty")
}

func fieldIndex(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if n, _ := yamlTag(t.Field(i)); n == name && n != notInFile {
			return i, true
		}
	}
	return 0, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for f := range t.Fields() {
		if n, _ := yamlTag(f); n != notInFile {
			names = append(names, n)
		}
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
