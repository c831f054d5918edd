package main

// This file reads the file that ROUTER_CONFIG names, and what the environment says beside it.

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

// config is the file that ROUTER_CONFIG names.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"` // the operators' own address, "" = none
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    httpfront.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// read reads the file that ROUTER_CONFIG names.
func read() (config, error) {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return config{}, errors.New("ROUTER_CONFIG is not set")
	}
	return readFile(path)
}

func readFile(path string) (config, error) {
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

// load reads the configuration; at the start the environment has the last word on what it names.
func load() (config, wire.Site, uint64, error) {
	c, err := read()
	fail := func(err error) (config, wire.Site, uint64, error) { return c, wire.Site{}, 0, err }
	if err != nil {
		return fail(err)
	}
	path := os.Getenv("ROUTER_CONFIG")
	for name, to := range map[string]*string{"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery, "ROUTER_OPERATOR": &c.Operator} {
		if v := os.Getenv(name); v != "" {
			*to = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery, "operator": c.Operator} {
		if _, _, err := net.SplitHostPort(addr); err != nil && (addr != "" || name != "operator") {
			return fail(fmt.Errorf("%s: %s: %w", path, name, err))
		}
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fail(fmt.Errorf("%s: seed: %q is no hex number", path, c.Seed))
	}
	site, err := wire.ParseSite(c.Settings)
	if err != nil {
		return fail(fmt.Errorf("%s: settings: %w", path, err))
	}
	return c, site, seed, nil
}
