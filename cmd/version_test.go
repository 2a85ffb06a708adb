package cmd

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against output that lacks what a bug report needs: the name and the Go
// version.
func TestVersionPrintsNameAndGoVersion(t *testing.T) {
	var out bytes.Buffer
	root := newRoot()
	root.SetOut(&out)
	root.SetArgs([]string{"version"})
	assert.NilError(t, root.Execute())
	assert.Assert(t, strings.HasPrefix(out.String(), "mimosarelay "), out.String())
	assert.Assert(t, strings.Contains(out.String(), " go1."), out.String())
}
