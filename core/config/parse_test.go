package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
)

const zeroHash = "sha256:00000000000000000000000000000000:0000000000000000000000000000000000000000000000000000000000000000"

// validDocument is a valid document. The table tests replace one part of it.
const validDocument = `Revision: 4
Workspaces:
  - Name: flagdesk
    Keys:
      - ID: k1
        Hash: ` + zeroHash + `
    Rate: 20
    Burst: 40.5
    Budget:
      Tokens: 200000
      Calls: 500
      Lifetime: 1h30m
    Models: [small]
    Routes: [pay]
Targets:
  - Name: e1
    Kind: Engine
    Address: 127.0.0.1:8001
    Zone: brest
    Models: [small, org/large:7b]
    MaxInFlight: 8
    ChecksFencing: true
  - Name: s1
    Kind: Service
    Address: 127.0.0.1:9001
    Zone: brest
    MaxInFlight: 4
Routes:
  - Name: pay
    Targets: [s1]
    Repeatable: false
    Methods: [POST]
    Timeout: 10s
`

func TestParseReadsEveryField(t *testing.T) {
	d, err := Parse([]byte(validDocument), "a.yaml")
	assert.NilError(t, err)
	want := &Document{
		Revision: 4,
		Workspaces: []Workspace{{
			Name: "flagdesk", Keys: []Key{{ID: "k1", Hash: zeroHash}}, Rate: 20, Burst: 40.5,
			Budget: Budget{Tokens: 200000, Calls: 500, Lifetime: 90 * time.Minute},
			Models: []model.ModelID{"small"}, Routes: []model.RouteID{"pay"},
		}},
		Targets: []Target{
			{
				Name: "e1", Kind: Engine, Address: "127.0.0.1:8001", Zone: "brest",
				Models: []model.ModelID{"small", "org/large:7b"}, MaxInFlight: 8, ChecksFencing: true,
			},
			{Name: "s1", Kind: Service, Address: "127.0.0.1:9001", Zone: "brest", MaxInFlight: 4},
		},
		Routes: []Route{{Name: "pay", Targets: []model.TargetID{"s1"}, Methods: []string{"POST"}, Timeout: 10 * time.Second}},
	}
	assert.DeepEqual(t, d, want)
}

// Guards against invalid input that is accepted, silently converted, or reported
// without its line and field.
func TestParseReportsLineAndFieldOfInvalidInput(t *testing.T) {
	tests := map[string]struct {
		old, new string
		line     int
		field    string
		problem  string
	}{
		"misspelt field":       {"    Rate: 20", "    Rat: 20", 7, "Workspaces[0].Rat", "unknown field; allowed are Name, Keys, Rate"},
		"missing field":        {"    Rate: 20\n", "", 3, "Workspaces[0].Rate", "missing; it must be a finite decimal number"},
		"missing nested field": {"      Calls: 500\n", "", 9, "Workspaces[0].Budget.Calls", "missing"},
		"misspelt list":        {"Targets:\n", "Target:\n", 15, "Target", "unknown field"},
		"empty value":          {"Rate: 20", "Rate:", 7, "Workspaces[0].Rate", "no value is not allowed"},
		"repeated field":       {"    Rate: 20", "    Rate: 20\n    Rate: 30", 8, "Workspaces[0].Rate", "the first is in line 7"},
		"text for number":      {"Rate: 20", "Rate: fast", 7, "Workspaces[0].Rate", `"fast" is not allowed; it must be a finite decimal number`},
		"quoted number":        {"Rate: 20", `Rate: "20"`, 7, "Workspaces[0].Rate", "decimal number"},
		"number for text":      {"Name: flagdesk", "Name: 12", 3, "Workspaces[0].Name", "must be text"},
		"octal integer":        {"Calls: 500", "Calls: 0500", 11, "Workspaces[0].Budget.Calls", "decimal integer"},
		"fraction for integer": {"Calls: 500", "Calls: 500.5", 11, "Workspaces[0].Budget.Calls", "decimal integer from 0 to 4294967295"},
		"integer out of range": {"Calls: 500", "Calls: 4294967296", 11, "Workspaces[0].Budget.Calls", "decimal integer"},
		"negative unsigned":    {"Calls: 500", "Calls: -1", 11, "Workspaces[0].Budget.Calls", "decimal integer"},
		"overflows int64":      {"Tokens: 200000", "Tokens: 18446744073709551615", 10, "Workspaces[0].Budget.Tokens", "decimal integer"},
		"yes for true":         {"ChecksFencing: true", "ChecksFencing: yes", 22, "Targets[0].ChecksFencing", "true or false"},
		"duration without unit": {
			"Lifetime: 1h30m", "Lifetime: 90", 12, "Workspaces[0].Budget.Lifetime", "a duration such as 30s",
		},
		"mapping for list":        {"Models: [small]", "Models: {a: b}", 13, "Workspaces[0].Models", "must be a list"},
		"list for mapping":        {"    Keys:\n      - ID: k1", "    Keys:\n      - [a]\n      - ID: k1", 5, "Workspaces[0].Keys[0]", "must be a mapping"},
		"infinite rate":           {"Rate: 20", "Rate: .inf", 7, "Workspaces[0].Rate", "finite decimal number"},
		"zero rate":               {"Rate: 20", "Rate: 0", 7, "Workspaces[0].Rate", "must be from 1e-06 to 1e+06"},
		"burst below 1":           {"Burst: 40.5", "Burst: 0.5", 8, "Workspaces[0].Burst", "must be from 1 to"},
		"negative weight":         {"Burst: 40.5", "Burst: 40.5\n    Weight: -1", 9, "Workspaces[0].Weight", "must be from 0"},
		"zero tokens":             {"Tokens: 200000", "Tokens: 0", 10, "Workspaces[0].Budget.Tokens", "must be from 1 to"},
		"zero calls":              {"Calls: 500", "Calls: 0", 11, "Workspaces[0].Budget.Calls", "at least 1"},
		"zero lifetime":           {"Lifetime: 1h30m", "Lifetime: 0s", 12, "Workspaces[0].Budget.Lifetime", "must be from 1s"},
		"bad name":                {"Name: flagdesk", "Name: flag desk", 3, "Workspaces[0].Name", "1 to 64 letters"},
		"bad hash":                {zeroHash, "sha256:00:00", 6, "Workspaces[0].Keys[0].Hash", "malformed hash"},
		"field not in files":      {"MaxInFlight: 4", "MaxInFlight: 4\n    \"-\": 3", 28, "Targets[1].-", "unknown field; allowed are Name, "},
		"no models granted":       {"Models: [small]", "Models: []", 13, "Workspaces[0].Models", "omit the field to allow all models"},
		"no routes granted":       {"Routes: [pay]", "Routes: []", 14, "Workspaces[0].Routes", "omit the field to allow all routes"},
		"unknown model":           {"Models: [small]", "Models: [big]", 13, "Workspaces[0].Models[0]", `serves model "big"`},
		"unknown route":           {"Routes: [pay]", "Routes: [buy]", 14, "Workspaces[0].Routes[0]", `route "buy" does not exist`},
		"unknown kind":            {"Kind: Service", "Kind: service", 24, "Targets[1].Kind", "Engine or Service"},
		"host name as address":    {"127.0.0.1:9001", "localhost:9001", 25, "Targets[1].Address", "is not IP:port"},
		"port 0":                  {"127.0.0.1:9001", "127.0.0.1:0", 25, "Targets[1].Address", "is not IP:port"},
		"unspecified address":     {"127.0.0.1:9001", "0.0.0.0:9001", 25, "Targets[1].Address", "not the address of a machine"},
		"shared address":          {"127.0.0.1:9001", "127.0.0.1:8001", 25, "Targets[1].Address", "already used by Targets[0].Address in line 18"},
		"repeated target":         {"Name: s1", "Name: e1", 23, "Targets[1].Name", "already used by Targets[0].Name in line 16"},
		"engine, no models":       {"    Models: [small, org/large:7b]\n", "", 16, "Targets[0].Models", "at least one model"},
		"service, fencing":        {"MaxInFlight: 4", "MaxInFlight: 4\n    ChecksFencing: true", 28, "Targets[1].ChecksFencing", "only targets of kind Engine"},
		"zero calls in flight":    {"MaxInFlight: 4", "MaxInFlight: 0", 27, "Targets[1].MaxInFlight", "must be from 1"},
		"route to unknown target": {"Targets: [s1]", "Targets: [s2]", 30, "Routes[0].Targets[0]", `target "s2" does not exist`},
		"route to engine":         {"Targets: [s1]", "Targets: [e1]", 30, "Routes[0].Targets[0]", "is of kind Engine"},
		"route, no targets":       {"Targets: [s1]", "Targets: []", 30, "Routes[0].Targets", "at least one target"},
		"bad method":              {"Methods: [POST]", "Methods: [post]", 32, "Routes[0].Methods[0]", "must be one of GET"},
		"negative timeout":        {"Timeout: 10s", "Timeout: -1s", 33, "Routes[0].Timeout", "must be from 0s"},
		"no repeatable flag":      {"    Repeatable: false\n", "", 29, "Routes[0].Repeatable", "missing; it must be true or false"},
		"YAML alias":              {"Models: [small]", "Models: *m", 13, "", "aliases"},
		"second document":         {"Routes:\n  - Name", "---\nRoutes:\n  - Name", 29, "", "second YAML document"},
		"broken syntax":           {"Models: [small]", "Models: [small", 14, "", "invalid YAML"},
		"deep nesting":            {"Models: [small]", "Models: " + strings.Repeat("[", 1000), 13, "", "nested too deeply"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validDocument, c.old), "the valid document does not contain %q", c.old)
			_, err := Parse([]byte(strings.Replace(validDocument, c.old, c.new, 1)), "a.yaml")
			var faults Faults
			assert.Assert(t, errors.As(err, &faults), "%v", err)
			f := faults[len(faults)-1]
			assert.Equal(t, fmt.Sprintf("%s:%d %s", f.File, f.Line, f.Field), fmt.Sprintf("a.yaml:%d %s", c.line, c.field), "%v", err)
			assert.Assert(t, strings.Contains(f.Problem, c.problem), f.Problem)
			want := 1
			if strings.HasPrefix(name, "misspelt") { // the required field is missing as well
				want = 2
			}
			assert.Equal(t, len(faults), want, "%v", err)
		})
	}
}

// Guards against stopping at the first fault, which would make operators fix a
// file one fault at a time.
func TestParseReportsAllFaults(t *testing.T) {
	text := strings.NewReplacer("Rate: 20", "Rate: -1", "Kind: Service", "Kind: None", "Timeout: 10s", "Time: 10s").Replace(validDocument)
	_, err := Parse([]byte(text), "a.yaml")
	assert.Error(t, err, strings.Join([]string{
		"a.yaml:7: Workspaces[0].Rate: -1 is not allowed; it must be from 1e-06 to 1e+06 requests per second",
		`a.yaml:24: Targets[1].Kind: "None" is not allowed; it must be Engine or Service`,
		"a.yaml:33: Routes[0].Time: unknown field; allowed are Name, Targets, Repeatable, Open, Methods, Timeout",
	}, "\n"))
}

// Guards against a key id in two workspaces, which would make one of the keys
// unusable.
func TestParseRejectsKeyIDOfTwoWorkspaces(t *testing.T) {
	second := "Workspaces:\n  - Name: other\n    Keys: [{ID: k1, Hash: \"" + zeroHash +
		"\"}]\n    Rate: 1\n    Burst: 1\n    Budget: {Tokens: 1, Calls: 1, Lifetime: 1s}\n"
	_, err := Parse([]byte(strings.Replace(validDocument, "Workspaces:\n", second, 1)), "a.yaml")
	assert.ErrorContains(t, err, `a.yaml:10: Workspaces[1].Keys[0].ID: "k1" is already used by Workspaces[0].Keys[0].ID in line 4`)
}

func TestParseReportsRequiredFieldsOfEmptyFile(t *testing.T) {
	_, err := Parse([]byte("# nothing\n"), "a.yaml")
	assert.ErrorContains(t, err, "a.yaml:1: Workspaces: missing")
	assert.ErrorContains(t, err, "a.yaml:1: Targets: missing")
}

// Guards against files that take the parser too long: without the limits, 350,000
// fields and 500,000 list elements took more than 20 s each.
func TestParseRejectsFilesThatAreExpensiveToParse(t *testing.T) {
	for name, c := range map[string]struct{ text, problem string }{
		"fields":         {strings.Repeat("a:\n", 100_000), "too many fields"},
		"fields, braces": {strings.Repeat("a: {}\n", 50_000), "too many fields"},
		"fields, lists":  {strings.Repeat("a:\n- b\n", 50_000), "too many fields"},
		"flow fields":    {"{" + strings.Repeat("a: 1,", 99_000) + "}", "too many fields"},
		"elements":       {strings.Repeat("-\n", 150_000), "too many list elements"},
		"flow elements":  {"a: [" + strings.Repeat("b,", 150_000) + "]", "too many list elements"},
		"size":           {strings.Repeat("#\n", 600_000), "at most 1048576 are allowed"},
		"many faults":    {"Workspaces: [" + strings.Repeat("a,", 5000) + "]\nTargets: []", "4000 further faults are not listed"},
		"block nesting":  {strings.Repeat("- ", 100_000), "nested too deeply"},
		"indentation":    {"a:\n" + strings.Repeat(" ", 100) + "b: 1", "nested too deeply"},
		"mapping braces": {"a: " + strings.Repeat("{b: ", 1000), "nested too deeply"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text), "a.yaml")
			var faults Faults
			assert.Assert(t, errors.As(err, &faults))
			assert.Assert(t, strings.Contains(faults[len(faults)-1].Problem, c.problem), "%s", faults[len(faults)-1].Problem)
		})
	}
}

// Guards against limits that reject a document of the size that the system is
// designed for.
func TestParseAcceptsDocumentOfDesignSize(t *testing.T) {
	var b strings.Builder
	b.WriteString("Workspaces:\n")
	for i := range 740 {
		fmt.Fprintf(&b, "- Name: w%d\n  Keys:\n  - {ID: k%d, Hash: \"%s\"}\n  Rate: 5\n  Burst: 9\n", i, i, zeroHash)
		b.WriteString("  Budget:\n    Tokens: 9\n    Calls: 9\n    Lifetime: 1h\n")
	}
	b.WriteString("Targets:\n")
	for i := range 2400 {
		fmt.Fprintf(&b, "- Name: t%d\n  Kind: Engine\n  Address: 127.0.%d.%d:80\n  Zone: z\n  Models: [a, b, c]\n  MaxInFlight: 4\n", i, i/250, i%250)
	}
	d, err := Parse([]byte(b.String()), "a.yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(d.Workspaces)+len(d.Targets), 740+2400)
}

// Guards against key hashes in dumps and logs.
func TestHashIsHiddenInJSONAndFormattedText(t *testing.T) {
	k := Key{ID: "k1", Hash: zeroHash}
	data, err := json.Marshal(k)
	assert.NilError(t, err)
	for _, s := range []string{string(data), fmt.Sprintf("%v %+v %#v %s %q", k, k, k, k, k)} {
		assert.Assert(t, !strings.Contains(s, "0000"), s)
	}
}

// FuzzParse guards against panics and against accepted documents that change when
// they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(""))
	f.Add([]byte("Workspaces: [{Name: \"1\", Rate: 1e3}]\nTargets: []"))
	f.Add([]byte("Workspaces: []\nTargets: [{Name: \"null\", Zone: \"0x1\", Address: \"[::1]:1\", Kind: Service, MaxInFlight: 1}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse(data, "fuzz.yaml")
		if err != nil {
			var faults Faults
			assert.Assert(t, errors.As(err, &faults) && d == nil)
			return
		}
		first, err := Marshal(d)
		assert.NilError(t, err)
		again, err := Parse(first, "again.yaml")
		assert.NilError(t, err, "%s", first)
		second, err := Marshal(again)
		assert.NilError(t, err)
		assert.Equal(t, string(first), string(second))
		assert.Equal(t, len(Diff(d, again)), 0)
	})
}
