package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against policy names that are ignored, or unknown names that are accepted
// without an error.
func TestPolicyNamesRejectUnknownName(t *testing.T) {
	o, err := PolicyNames{Order: "FirstCome", Choice: "RoundRobin", Retention: "NoRetention"}.Options()
	assert.NilError(t, err)
	assert.DeepEqual(t, o, Options{Order: FirstCome{}, Choice: RoundRobin{}, Retention: NoRetention{}})
	o, err = PolicyNames{Choice: "CacheAware"}.Options()
	assert.NilError(t, err)
	assert.DeepEqual(t, o, Options{}.withDefaults())
	_, err = PolicyNames{Order: "fairshare"}.Options()
	assert.Error(t, err, `Order "fairshare" is not known; allowed are FairShare and FirstCome`)
}
