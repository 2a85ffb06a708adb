package release

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/model"
	_ "mimosarelay/test/fixedseed"
)

// Guards against the release of live programs and of memory that belongs to no
// program, and against confusing programs with the same id in two workspaces.
func TestPlanListsOnlyEndedPrograms(t *testing.T) {
	report := []Entry{
		{Program: "w/live", Blocks: 9},
		{Program: "w/small", Blocks: 1},
		{Program: "w/large/part", Blocks: 5},
		{Program: "x/live", Blocks: 2},
		{Program: "", Blocks: 7},
		{Program: "stray", Blocks: 7},
	}
	live := map[model.ProgramKey]bool{{Workspace: "w", Program: "live"}: true}
	assert.DeepEqual(t, Plan(report, live), []model.ProgramKey{
		{Workspace: "w", Program: "large/part"}, {Workspace: "x", Program: "live"}, {Workspace: "w", Program: "small"},
	})
}

// Guards against names at engines that are not parsed back to their program.
func TestParseNameReversesName(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		key := model.ProgramKey{
			Workspace: model.WorkspaceID(rapid.StringMatching(`[a-z][a-z0-9.-]*`).Draw(rt, "workspace")),
			Program:   model.ProgramID(rapid.StringMatching(`[a-z/]+`).Draw(rt, "program")),
		}
		got, ok := ParseName(Name(key))
		if !ok || got != key {
			rt.Fatalf("%v became %v", key, got)
		}
	})
}
