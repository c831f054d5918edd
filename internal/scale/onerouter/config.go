package onerouter

// Files that the router reads at its start.

import (
	"encoding/json"
	"os"
	"path/filepath"

	"rowanyard/internal/httpfront"
)

// config is the content of the router's configuration file.
type config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    routerLimits    `json:"limits"`
	Known     httpfront.List  `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type routerLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// operatorFile is the content of the operator's file.
type operatorFile struct {
	Settings struct {
		Reload bool `json:"reload"`
	} `json:"settings"`
	Metrics struct {
		Listen string `json:"listen"`
	} `json:"metrics"`
}

func (r *Process) configFile() string   { return filepath.Join(r.dir, "config.json") }
func (r *Process) operatorFile() string { return filepath.Join(r.dir, "operator.json") }

// writeConfig writes the router's configuration file, replacing an earlier one.
func (r *Process) writeConfig() error { return writeJSON(r.configFile(), r.config) }

// writeOperatorFile writes the operator's file, with an address for metrics if Options.Scrape is set.
func (r *Process) writeOperatorFile(o Options) (err error) {
	var f operatorFile
	f.Settings.Reload = o.Reload
	if o.Scrape > 0 {
		if r.scraper.address, err = freeAddress(""); err != nil {
			return err
		}
		f.Metrics.Listen = r.scraper.address
	}
	return writeJSON(r.operatorFile(), f)
}

// writeJSON writes a value as JSON to a file that only this user can read.
func writeJSON(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
