package settings

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
)

const samples = "../../docs/samples"

// write writes settings and the files that they name to a temporary folder.
func write(t *testing.T, text string) string {
	t.Helper()
	folder := t.TempDir()
	assert.NilError(t, os.Mkdir(filepath.Join(folder, "data"), 0o700))
	for _, name := range []string{
		"operator.credential", "store.token", "ca.crt",
		"caller.crt", "caller.key", "operator.crt", "operator.key", "peer.crt", "peer.key",
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), []byte("0123456789abcdef\n"), 0o600))
	}
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "empty"), nil, 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "short"), []byte("123"), 0o600))
	file := filepath.Join(folder, "settings.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func sample(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(samples, name))
	assert.NilError(t, err)
	return string(data)
}

// optional matches a setting that is commented out.
var optional = regexp.MustCompile(`(?m)^( *)#([A-Z])`)

// Guards against a sample that does not load, and against defaults in its
// comments that differ from the code.
func TestSampleSettingsLoad(t *testing.T) {
	text := sample(t, "settings.yaml")
	short, err := Load(write(t, text))
	assert.NilError(t, err)
	full, err := Load(write(t, optional.ReplaceAllString(text, "$1$2")))
	assert.NilError(t, err)
	assert.Assert(t, full.Caller.TLS.Enabled() && full.Operator.TLS.Enabled() && full.Peer.TLS.Enabled())
	assert.Equal(t, filepath.Base(full.Data.Folder), "data")
	assert.Equal(t, filepath.Base(full.Platform.TokenFile), "store.token")
	// The other settings are commented out with their defaults.
	full.Caller.TLS, full.Operator.TLS, full.Peer.TLS = TLS{}, TLS{}, TLS{}
	full.Data, full.Platform.TokenFile = Data{}, ""
	full.Operator.CredentialFile = short.Operator.CredentialFile
	assert.DeepEqual(t, full, short)
}

// Guards against a sample configuration that is not valid.
func TestSampleContractsParse(t *testing.T) {
	_, err := config.Parse([]byte(sample(t, "contracts.yaml")), "contracts.yaml")
	assert.NilError(t, err)
}

// Guards against options that the samples do not contain.
func TestSamplesNameEveryOption(t *testing.T) {
	for name, v := range map[string]any{"settings.yaml": Settings{}, "contracts.yaml": config.Document{}} {
		text := sample(t, name)
		for _, option := range options(reflect.TypeOf(v)) {
			found, err := regexp.MatchString(`(?m)^[ #-]*`+option+`:`, text)
			assert.NilError(t, err)
			assert.Assert(t, found, "%s does not document %s", name, option)
		}
	}
}

// options lists the YAML names of a struct and the structs in it.
func options(t reflect.Type) []string {
	var names []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "-" {
			continue // not part of the document
		}
		names = append(names, name)
		e := f.Type
		if e.Kind() == reflect.Slice {
			e = e.Elem()
		}
		if e.Kind() == reflect.Struct {
			names = append(names, options(e)...)
		}
	}
	return names
}

// Guards against a process that starts with settings that it cannot apply.
func TestLoadReportsFieldOfInvalidSetting(t *testing.T) {
	text := sample(t, "settings.yaml")
	for name, c := range map[string]struct{ old, new, field, problem string }{
		"misspelt field":             {"  #LeaseTTL", "  LeaseTLL", "Limits.LeaseTLL", "unknown field; allowed are LeaseTTL"},
		"short lease":                {"  #LeaseTTL: 3s", "  LeaseTTL: 1s", "Limits.LeaseTTL", "from 2s to 1m0s"},
		"duration without unit":      {"  #QueueWait: 30s", "  QueueWait: 30", "Limits.QueueWait", "a duration such as"},
		"negative duration":          {"  #LimitWait: 1s", "  LimitWait: -1s", "Limits.LimitWait", "from 1ms"},
		"address with a host name":   {"Address: 127.0.0.1:7000", "Address: localhost:7000", "Caller.Address", "is not IP:port"},
		"unspecified peer address":   {"Address: 127.0.0.1:7002", "Address: 0.0.0.0:7002", "Peer.Advertise", "cannot be connected to"},
		"two ports with one address": {"Address: 127.0.0.1:7001", "Address: 127.0.0.1:7000", "Operator.Address", "already used by Caller.Address"},
		"missing credential file":    {"CredentialFile: operator.credential", "CredentialFile: none", "Operator.CredentialFile", "must be a readable file"},
		"empty credential":           {"CredentialFile: operator.credential", "CredentialFile: empty", "Operator.CredentialFile", "is empty"},
		"short credential":           {"CredentialFile: operator.credential", "CredentialFile: short", "Operator.CredentialFile", "at least 16"},
		"negative zone targets":      {"#Placement:\n", "Placement:\n  ZoneTargets: -1\n", "Placement.ZoneTargets", "between 0 and 10000"},
		"huge path cost":             {"#Placement:\n", "Placement:\n  ZonePathCost: 1000000000000\n", "Placement.ZonePathCost", "between 0 and 1000000"},
		"memory below a host's own":  {"#Memory:\n", "Memory:\n  Limit: 1000\n", "Memory.Limit", "from 67108864"},
		"memory below two bodies":    {"#Memory:\n", "Memory:\n  Limit: 67108864\n", "Memory.Limit", "less than 2 times Caller.MaxBody"},
		"few connections":            {"#Memory:\n", "Memory:\n  MaxConnections: 3\n", "Memory.MaxConnections", "from 64"},
		"unknown policy":             {"#Placement:\n", "Placement:\n  Order: LastCome\n", "Placement.Order", "FirstCome"},
		"invalid host name":          {"Name: host-1", "Name: host/1", "Host.Name", "is not a name"},
		"certificate without key":    {"#TLS:\n    #CertFile: caller.crt", "TLS:\n    CertFile: caller.crt", "Caller.TLS.KeyFile", "needs both"},
		"missing certificate file":   {"#TLS:\n    #CertFile: caller.crt\n    #K", "TLS:\n    CertFile: none\n    K", "Caller.TLS.CertFile", "must be a readable file"},
		"body too large":             {"#MaxBody: 8388608", "MaxBody: 8388608000", "Caller.MaxBody", "from 1024"},
		"prefix without final slash": {"#Prefix: mimosarelay/", "Prefix: /mimosarelay", "Platform.Prefix", "end with a slash"},
		"missing data folder":        {"  #Folder: data", "  Folder: none", "Data.Folder", "existing folder"},
		"unknown log level":          {"  #Level: info", "  Level: trace", "Log.Level", "debug, info, warn or error"},
		"missing zone":               {"  Zone: brest\n", "", "Host.Zone", "missing"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(text, c.old), "the sample does not contain %q", c.old)
			broken := strings.Replace(text, c.old, c.new, 1)
			for _, section := range []string{"Limits:", "Data:", "Log:"} {
				if strings.HasPrefix(c.field, strings.TrimSuffix(section, ":")+".") {
					broken = strings.Replace(broken, "#"+section, section, 1)
				}
			}
			_, err := Load(write(t, broken))
			var faults config.Faults
			assert.Assert(t, errors.As(err, &faults), "%v", err)
			assert.Equal(t, len(faults), 1, "%v", err)
			assert.Equal(t, faults[0].Field, c.field)
			assert.Assert(t, faults[0].Line > 1, "%v", err)
			assert.Assert(t, strings.Contains(faults[0].Problem, c.problem), "%v", err)
		})
	}
}

func TestLoadFillsInDefaults(t *testing.T) {
	s, err := Load(write(t, sample(t, "settings.yaml")))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits.LeaseTTL, 3*time.Second)
	assert.Equal(t, s.Caller.Advertise, "127.0.0.1:7000")
	assert.Equal(t, s.Caller.MaxBody, 8<<20)
	assert.Equal(t, s.Platform.Prefix, "mimosarelay/")
	_, err = Load("missing.yaml")
	assert.ErrorIs(t, err, os.ErrNotExist)
}
