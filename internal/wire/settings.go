package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"rowanyard/decide"
)

// config is the part of the start message's JSON that decisions rest on.
// Unknown keys are skipped.
type config struct {
	Me         float64  `json:"me"`
	Instances  float64  `json:"n_instances"`
	Zone       float64  `json:"zone"`
	Tick       float64  `json:"granularity"`
	Discovery  string   `json:"discovery"`
	OverShare  float64  `json:"over_share_worth"`
	Classes    []class  `json:"request_classes"`
	Parties    []party  `json:"parties"`
	HostTypes  []string `json:"host_types"`
	Zones      []string `json:"zones"`
	Domain     domain   `json:"domain"`
	Limits     limits   `json:"limits"`
	Report     report   `json:"report"`
	ServerRule rules    `json:"rules"`
}

type class struct {
	Name       string  `json:"name"`
	Credit     float64 `json:"credit"`
	DedupScope string  `json:"dedup_scope"`
	Effect     string  `json:"effect"`
	HardLimit  float64 `json:"hard_limit"`
	LateValue  float64 `json:"late_value"`
	Target     float64 `json:"target"`
	Window     float64 `json:"window"`
}

type party struct {
	Quota float64 `json:"quota_per_s"`
}

type domain struct {
	AimPer1000  []float64 `json:"aim_us_per_1000_prompt_tokens"`
	KindRole    []string  `json:"kind_role"`
	KVTokens    []float64 `json:"kv_tokens"`
	PinLimit    float64   `json:"pin_limit"`
	Resume      bool      `json:"resume"`
	TokenAim    []float64 `json:"token_aim"`
	WritersRead bool      `json:"writers_read"`
}

type limits struct {
	Cancelling     bool    `json:"cancelling"`
	SendCap        float64 `json:"send_cap"`
	Probing        bool    `json:"probing"`
	ConnIdle       float64 `json:"conn_idle"`
	ConnectTimeout float64 `json:"connect_timeout"`
	MaxRetryAfter  float64 `json:"max_retry_after"`
	RetryAfter     bool    `json:"retry_after"`
}

type report struct {
	Names []string `json:"names"`
}

type rules struct {
	AskEvery       float64 `json:"ask_every"`
	ColdFrom       float64 `json:"cold_from"`
	Fall           float64 `json:"fall"`
	OverloadFactor float64 `json:"overload_factor"`
	RampTime       float64 `json:"ramp_time"`
}

var (
	roles   = map[string]decide.Role{"read": decide.Reader, "write": decide.Writer, "both": decide.Mixed}
	effects = map[string]decide.Effect{"read_like": decide.Safe, "idempotency_key": decide.Keyed,
		"non_idempotent": decide.Unsafe}
	scopes = map[string]decide.Scope{"all": decide.ScopeAll, "zone": decide.ScopeZone, "cell": decide.ScopeCell}
)

// Site is what a real router reads from the settings beside what decisions rest on: the names on
// its sockets, in the order of the numbers that package decide uses, and the limits of connections.
type Site struct {
	decide.Settings
	ClassNames, KindNames, ZoneNames []string
	ConnIdle                         time.Duration
	Resume                           bool // clients ask for the rest of a stream that broke
}

// NeedsRestart names the first difference of next from s that a process can't take while it runs with s: what its sockets
// were made with, and names that stand for numbers. What decisions rest on is for decide.Router.Apply to say.
func (s Site) NeedsRestart(next Site) error {
	for _, fixed := range []struct {
		key  string
		same bool
	}{
		{"request_classes: names", slices.Equal(s.ClassNames, next.ClassNames)},
		{"host_types", slices.Equal(s.KindNames, next.KindNames)},
		{"zones", slices.Equal(s.ZoneNames, next.ZoneNames)},
		{"limits.conn_idle", s.ConnIdle == next.ConnIdle},
		{"domain.resume", s.Resume == next.Resume},
	} {
		if !fixed.same {
			return &decide.RestartError{What: fixed.key}
		}
	}
	return nil
}

// ParseSite reads the settings for a real router.
func ParseSite(text []byte) (Site, error) {
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return Site{}, err
	}
	set, err := settings(c)
	s := Site{Settings: set, KindNames: c.HostTypes, ZoneNames: c.Zones,
		ConnIdle: micros(c.Limits.ConnIdle), Resume: c.Domain.Resume}
	for _, k := range c.Classes {
		s.ClassNames = append(s.ClassNames, k.Name)
	}
	return s, err
}

// parseSettings reads the start message's JSON.
func parseSettings(text string) (decide.Settings, error) {
	var c config
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		return decide.Settings{}, err
	}
	return settings(c)
}

func settings(c config) (decide.Settings, error) {
	s := decide.Settings{
		Front: int(c.Me), Fronts: int(c.Instances), Zone: int(c.Zone),
		OverShareWorth: c.OverShare,
		Tick:           micros(c.Tick), MaxAttempts: int(c.Limits.SendCap),
		CanCancel:   c.Limits.Cancelling,
		CanProbe:    c.Limits.Probing && (slices.Contains(c.Report.Names, "x1") || slices.Contains(c.Report.Names, "pending")),
		WritersRead: c.Domain.WritersRead,
		MustAsk:     c.Discovery == "on_request", AskEvery: micros(c.ServerRule.AskEvery),
		PinLimit: micros(c.Domain.PinLimit), ConnectTimeout: micros(c.Limits.ConnectTimeout),
		ColdFrom: c.ServerRule.ColdFrom, ColdFor: micros(c.ServerRule.RampTime),
		ColdMultiple: c.ServerRule.OverloadFactor, ColdWindow: micros(c.ServerRule.Fall),
	}
	if c.Limits.RetryAfter {
		s.MaxRetryAfter = micros(c.Limits.MaxRetryAfter)
	}
	for _, p := range c.Parties {
		s.Tenants = append(s.Tenants, decide.Tenant{Quota: p.Quota})
	}
	var err error
	if s.Classes, err = classes(c); err != nil {
		return s, err
	}
	s.Kinds, err = kinds(c)
	return s, err
}

func classes(c config) ([]decide.Class, error) {
	var all []decide.Class
	for i, k := range c.Classes {
		effect, ok := effects[k.Effect]
		if !ok {
			return nil, fmt.Errorf("request_classes[%d].effect: unknown word %q", i, k.Effect)
		}
		scope, ok := scopes[k.DedupScope]
		if !ok && k.DedupScope != "" {
			return nil, fmt.Errorf("request_classes[%d].dedup_scope: unknown word %q", i, k.DedupScope)
		}
		all = append(all, decide.Class{
			Aim: micros(k.Target), AimPer1000: micros(at(c.Domain.AimPer1000, i)),
			Deadline: micros(k.HardLimit), TokenAim: micros(at(c.Domain.TokenAim, i)),
			Worth: k.Credit, LateWorth: k.LateValue, Effect: effect, Scope: scope,
			RepeatWindow: micros(k.Window),
		})
	}
	return all, nil
}

func kinds(c config) ([]decide.Kind, error) {
	var all []decide.Kind
	for i, word := range c.Domain.KindRole {
		role, ok := roles[word]
		if !ok {
			return nil, fmt.Errorf("kind_role[%d]: unknown word %q", i, word)
		}
		all = append(all, decide.Kind{Role: role, MemoryTokens: int(at(c.Domain.KVTokens, i))})
	}
	return all, nil
}

func at(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

func micros(v float64) time.Duration {
	return time.Duration(v * float64(time.Microsecond))
}
