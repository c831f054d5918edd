package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"rowanyard/decide"
)

// config holds the keys of the settings JSON that a router uses. Unknown keys are ignored.
type config struct {
	Me        float64  `json:"me"`
	Instances float64  `json:"n_instances"`
	Zone      float64  `json:"zone"`
	ClockStep float64  `json:"granularity"`
	Discovery string   `json:"discovery"`
	OverShare float64  `json:"over_share_worth"`
	Classes   []class  `json:"request_classes"`
	Parties   []tenant `json:"parties"`
	HostTypes []string `json:"host_types"`
	Zones     []string `json:"zones"`
	Domain    domain   `json:"domain"`
	Limits    limits   `json:"limits"`
	Report    report   `json:"report"`
	Rules     rules    `json:"rules"`
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

type tenant struct {
	Quota float64 `json:"quota_per_s"`
}

type domain struct {
	TTFTTargetPer1000 []float64 `json:"aim_us_per_1000_prompt_tokens"`
	KindRole          []string  `json:"kind_role"`
	KVTokens          []float64 `json:"kv_tokens"`
	PinLimit          float64   `json:"pin_limit"`
	Resume            bool      `json:"resume"`
	TPOTTarget        []float64 `json:"token_aim"`
	WritersCanRead    bool      `json:"writers_read"`
}

type limits struct {
	Cancelling      bool    `json:"cancelling"`
	SendCap         float64 `json:"send_cap"`
	Probing         bool    `json:"probing"`
	ConnIdleTimeout float64 `json:"conn_idle"`
	ConnectTimeout  float64 `json:"connect_timeout"`
	MaxRetryAfter   float64 `json:"max_retry_after"`
	RetryAfter      bool    `json:"retry_after"`
}

type report struct {
	Names []string `json:"names"`
}

type rules struct {
	PollInterval   float64 `json:"ask_every"`
	ColdCapacity   float64 `json:"cold_from"`
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

// RouterSettings are the settings of a router outside the simulator: those of package decide, the names that clients,
// workers and discovery use for classes, kinds and zones, and the limits of connections. Package decide refers to a
// class, kind or zone by its index in these lists.
type RouterSettings struct {
	decide.Settings
	ClassNames, KindNames, ZoneNames []string
	ConnIdleTimeout                  time.Duration
	Resume                           bool // clients may ask for the rest of a stream that broke
}

// NeedsRestart returns a *decide.RestartError that names the first setting in which next differs from s and which a
// running process can't change: parameters with which its sockets were created, and the lists of names, whose indices
// are in use. It returns nil where there is none. Changes of decide.Settings are checked by decide.Router.Apply.
func (s RouterSettings) NeedsRestart(next RouterSettings) error {
	for _, setting := range []struct {
		key       string
		unchanged bool
	}{
		{"request_classes: names", slices.Equal(s.ClassNames, next.ClassNames)},
		{"host_types", slices.Equal(s.KindNames, next.KindNames)},
		{"zones", slices.Equal(s.ZoneNames, next.ZoneNames)},
		{"limits.conn_idle", s.ConnIdleTimeout == next.ConnIdleTimeout},
		{"domain.resume", s.Resume == next.Resume},
	} {
		if !setting.unchanged {
			return &decide.RestartError{Setting: setting.key}
		}
	}
	return nil
}

// ParseRouterSettings parses the settings JSON for a router outside the simulator.
func ParseRouterSettings(text []byte) (RouterSettings, error) {
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return RouterSettings{}, err
	}
	base, err := toSettings(c)
	s := RouterSettings{Settings: base, KindNames: c.HostTypes, ZoneNames: c.Zones,
		ConnIdleTimeout: micros(c.Limits.ConnIdleTimeout), Resume: c.Domain.Resume}
	for _, class := range c.Classes {
		s.ClassNames = append(s.ClassNames, class.Name)
	}
	return s, err
}

// parseSettings parses the settings JSON of a hello message.
func parseSettings(text string) (decide.Settings, error) {
	var c config
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		return decide.Settings{}, err
	}
	return toSettings(c)
}

func toSettings(c config) (decide.Settings, error) {
	s := decide.Settings{
		RouterIndex: int(c.Me), RouterCount: int(c.Instances), Zone: int(c.Zone),
		OverQuotaFactor: c.OverShare,
		ClockStep:       micros(c.ClockStep), MaxAttempts: int(c.Limits.SendCap),
		CanCancel:      c.Limits.Cancelling,
		CanProbe:       c.Limits.Probing && (slices.Contains(c.Report.Names, "x1") || slices.Contains(c.Report.Names, "pending")),
		WritersCanRead: c.Domain.WritersCanRead,
		PollServerList: c.Discovery == "on_request", PollInterval: micros(c.Rules.PollInterval),
		PinLimit: micros(c.Domain.PinLimit), ConnectTimeout: micros(c.Limits.ConnectTimeout),
		ColdCapacity: c.Rules.ColdCapacity, WarmUpTime: micros(c.Rules.RampTime),
		ColdOverloadFactor: c.Rules.OverloadFactor, ColdOverloadWindow: micros(c.Rules.Fall),
	}
	if c.Limits.RetryAfter {
		s.MaxRetryAfter = micros(c.Limits.MaxRetryAfter)
	}
	for _, p := range c.Parties {
		s.Tenants = append(s.Tenants, decide.Tenant{Quota: p.Quota})
	}
	var err error
	if s.Classes, err = toClasses(c); err != nil {
		return s, err
	}
	s.Kinds, err = toKinds(c)
	return s, err
}

func toClasses(c config) ([]decide.Class, error) {
	var converted []decide.Class
	for i, class := range c.Classes {
		effect, ok := effects[class.Effect]
		if !ok {
			return nil, fmt.Errorf("request_classes[%d].effect: unknown word %q", i, class.Effect)
		}
		scope, ok := scopes[class.DedupScope]
		if !ok && class.DedupScope != "" {
			return nil, fmt.Errorf("request_classes[%d].dedup_scope: unknown word %q", i, class.DedupScope)
		}
		converted = append(converted, decide.Class{
			TTFTTarget: micros(class.Target), TTFTTargetPer1000: micros(elementOrZero(c.Domain.TTFTTargetPer1000, i)),
			Deadline: micros(class.HardLimit), TPOTTarget: micros(elementOrZero(c.Domain.TPOTTarget, i)),
			Value: class.Credit, LateValueShare: class.LateValue, Effect: effect, Scope: scope,
			RepeatWindow: micros(class.Window),
		})
	}
	return converted, nil
}

func toKinds(c config) ([]decide.Kind, error) {
	var converted []decide.Kind
	for i, name := range c.Domain.KindRole {
		role, ok := roles[name]
		if !ok {
			return nil, fmt.Errorf("kind_role[%d]: unknown word %q", i, name)
		}
		converted = append(converted, decide.Kind{Role: role, MemoryTokens: int(elementOrZero(c.Domain.KVTokens, i))})
	}
	return converted, nil
}

// elementOrZero returns list[i], or 0 where the list is shorter.
func elementOrZero(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

func micros(v float64) time.Duration {
	return time.Duration(v * float64(time.Microsecond))
}
