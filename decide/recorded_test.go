package decide

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
)

// decisionHashes holds, by seed, hashes over every send and final answer of the routers of some deployments. Changes to
// data structures and lookups must not change a decision. Probes of writers that give no sign of life are included.
var decisionHashes = map[uint64]string{
	3:    "c897264e295f38a965dae1715aeb06c6c256b13eabed9d848b982c0b4b43249f",
	6:    "eecaed8e54512b16448576fa6e8c2225d0bcee19f4c10d95eaefe4e2fe2d43bd",
	12:   "94c9d7c586bf829cfc1b245b96d57ea2dff47bc9a5869bd49443145f435bac9a",
	195:  "8bcbfdc9db5b5580c938eebdffbec0381aac0cbe8e9dbf04c4c0c92475a98176",
	321:  "19875603cffdb403cdea74ffd4b3b21dfa834778a89f967d3255c9b9248cf91b",
	362:  "68a1e36f8efb1c50de9d435abd5ff500ff322f332d6987948a1b4abbeb584895",
	1041: "a33a41fe2977111ec240de083f78927ef8f52cd6b71cad87a06e20e277da65ce",
	1091: "9cd0f6829e201807b4d3c905dc64e8fbf00eef7f3631fc024c0ae981c64c9634",
}

// A change that is not meant to change decisions must leave all hashes as they are.
func TestDecisionsMatchRecordedHashes(t *testing.T) {
	for seed, want := range decisionHashes {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sum := sha256.New()
			d := drawDeployment(seed, 300)
			d.trace = func(format string, a ...any) { fmt.Fprintf(sum, format, a...) }
			d.run()
			if got := hex.EncodeToString(sum.Sum(nil)); got != want {
				t.Errorf("hash of the decisions is %s", got)
			}
		})
	}
}
