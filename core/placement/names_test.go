package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against settings that are ignored or mistyped without an error.
func TestNames(t *testing.T) {
	o, err := Names{Order: "FirstCome", Choice: "RoundRobin", Retention: "NoRetention"}.Options()
	assert.NilError(t, err)
	assert.DeepEqual(t, o, Options{Order: FirstCome{}, Choice: RoundRobin{}, Retention: NoRetention{}})
	o, err = Names{Choice: "CacheAware"}.Options()
	assert.NilError(t, err)
	assert.DeepEqual(t, o, Options{}.withDefaults())
	_, err = Names{Order: "fairshare"}.Options()
	assert.Error(t, err, `Order "fairshare" is not known; allowed are FairShare and FirstCome`)
}
