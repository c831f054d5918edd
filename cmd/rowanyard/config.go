package main

// The platform's configuration: the file named by ROUTER_CONFIG, with overrides from the environment.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"rowanyard/internal/httpfront"
	"rowanyard/internal/wire"
)

// config is the contents of the platform's configuration file.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"` // address of the operator API, "" = disabled
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    httpfront.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// readConfig reads the file named by ROUTER_CONFIG.
func readConfig() (config, error) {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return config{}, errors.New("ROUTER_CONFIG is not set")
	}
	return readConfigFile(path)
}

func readConfigFile(path string) (config, error) {
	var c config
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// loadConfig reads and validates the configuration, with environment variables taking precedence over the file.
func loadConfig() (config, wire.RouterSettings, uint64, error) {
	c, err := readConfig()
	fail := func(err error) (config, wire.RouterSettings, uint64, error) { return c, wire.RouterSettings{}, 0, err }
	if err != nil {
		return fail(err)
	}
	path := os.Getenv("ROUTER_CONFIG")
	for name, target := range map[string]*string{"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery, "ROUTER_OPERATOR": &c.Operator} {
		if v := os.Getenv(name); v != "" {
			*target = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery, "operator": c.Operator} {
		if _, _, err := net.SplitHostPort(addr); err != nil && (addr != "" || name != "operator") {
			return fail(fmt.Errorf("%s: %s: %w", path, name, err))
		}
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fail(fmt.Errorf("%s: seed: %q is not a hexadecimal number", path, c.Seed))
	}
	site, err := wire.ParseRouterSettings(c.Settings)
	if err != nil {
		return fail(fmt.Errorf("%s: settings: %w", path, err))
	}
	return c, site, seed, nil
}
