package knownred

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry that also skips tests whose names only share a prefix
// with its own, and against a missing file that fails every test.
func TestFindEntryMatchesExactName(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	text := "# Tests that fail.\ntest: TestA\nseen: x\n\ntest: TestLong\nseen: y\n"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	for name, want := range map[string]string{
		"TestA": "test: TestA\nseen: x\n\n", "TestLong": "test: TestLong\nseen: y\n", "TestLon": "", "TestLonger": "", "x": "",
	} {
		got, err := findEntry(file, name)
		assert.NilError(t, err)
		assert.Equal(t, got, want, name)
	}
	got, err := findEntry(file+".missing", "TestA")
	assert.NilError(t, err)
	assert.Equal(t, got, "")
}
