package decide

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
)

// recordedDeployments are what the fronts of some drawn deployments did, each send and each final answer, before the index
// of the list: looking things up in another way must not change a decision.
var recordedDeployments = map[uint64]string{
	3:    "b4b56333e62b0b3f5cd6810d550074ca99bcd27c29016dacc4c709c2c4ce6cca",
	6:    "a48911631ed35a9d1bd08d908fd167029efd42e4576b836cb5a00ce9b96ee615",
	12:   "c3e87f84797c0fedcf1154ef533ff1462dfa94b945e859c7c7ffa80e82057a4d",
	195:  "72c86a1051515e62aa2ca0b609b6012f3b5ff8dceec9609fb2c5f710edbda105",
	321:  "7b0959b40d82d9e047e43e674572ea46db8baf466a30934aefdaab1494b25909",
	362:  "f2b395ef234a2a57a7ad97cd4c3d4126151fc5f9c61e8109bafc58a21bf8d681",
	1041: "1e2d8cba0794f93efddc4695044056f703a5fb6347a889b24948129e566375d0",
	1091: "b22f1e4453a13d18ef696d03f5249f2b62d455d9eff2af3c1eb3a0af658b7a9a",
}

func TestDecisionsAreAsRecorded(t *testing.T) {
	for seed, want := range recordedDeployments {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sum := sha256.New()
			d := draw(seed, 300)
			d.did = func(format string, a ...any) { fmt.Fprintf(sum, format, a...) }
			d.play()
			if got := hex.EncodeToString(sum.Sum(nil)); got != want {
				t.Errorf("the record is %s now", got)
			}
		})
	}
}
