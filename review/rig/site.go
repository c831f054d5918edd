package rig

import "encoding/json"

// Class is a class of requests in the settings.
type Class struct {
	Name     string
	Effect   string // read_like, idempotency_key or non_idempotent
	Credit   float64
	TargetMs int // the first token is wanted within this time
	LimitMs  int // clients wait this long in all
}

// Site is a deployment's settings, as far as the cases need them: a small one of the deployment that Name names.
type Site struct {
	Name            string
	Zone            string
	Readers         string // kind of the readers
	Writers         string // kind of the writers
	Classes         []Class
	Routers         int
	MaxAttempts     int
	MaxRetryAfterMs int  // 0: clients are not told when to come back
	Probes          bool // workers answer probes
	Resume          bool // clients ask for the rest of a stream that broke
	DrainGraceMs    int
	PinLimitMs      int
}

// SenjaJawa is a small deployment like senja-jawa.
func SenjaJawa() Site {
	return Site{Name: "senja-jawa", Zone: "bekasi", Readers: "reader", Writers: "writer-a", Routers: 3, MaxAttempts: 4, MaxRetryAfterMs: 500,
		Probes: true, Resume: true, DrainGraceMs: 500, PinLimitMs: 300,
		Classes: []Class{{"draft-reply", "read_like", 1, 1200, 5000}, {"send-message", "non_idempotent", 2, 3000, 15000}}}
}

// LatihCyberjaya is a small deployment like latih-cyberjaya. Its clients do not ask for the rest of a stream that broke.
func LatihCyberjaya() Site {
	return Site{Name: "latih-cyberjaya", Zone: "hall-a", Readers: "prefill", Writers: "decode", Routers: 2, MaxAttempts: 6,
		DrainGraceMs: 1000, PinLimitMs: 500,
		Classes: []Class{{"hint", "read_like", 2, 1000, 5000}, {"test-feedback", "read_like", 1, 3000, 15000},
			{"graded-submit", "non_idempotent", 3, 1500, 6000}}}
}

// settings returns the settings of the configuration file, in its names and units.
func (s Site) settings() json.RawMessage {
	type object = map[string]any
	const us = 1000 // microseconds in a millisecond
	var classes []object
	var tokenAim, aimPer1000 []int
	for _, c := range s.Classes {
		classes = append(classes, object{"name": c.Name, "effect": c.Effect, "credit": c.Credit, "target": c.TargetMs * us, "hard_limit": c.LimitMs * us,
			"late_value": 0.1, "streamed": true})
		tokenAim, aimPer1000 = append(tokenAim, 60*us), append(aimPer1000, 40*us)
	}
	report := object{"names": []string{"x0", "x1"}, "source": "inline"}
	if s.Probes {
		report = object{"names": []string{"cpu_share", "pending"}, "source": "on_probe"}
	}
	text, _ := json.Marshal(object{"family": "twostage", "me": 0, "n_instances": s.Routers, "granularity": 2 * us, "discovery": "pushed",
		"zone": 0, "zones": []string{s.Zone}, "host_types": []string{s.Readers, s.Writers}, "report": report, "request_classes": classes,
		"domain": object{"kind_role": []string{"read", "write"}, "kv_tokens": []int{200000, 150000}, "pin_limit": s.PinLimitMs * us, "resume": s.Resume,
			"writers_read": false, "token_aim": tokenAim, "aim_us_per_1000_prompt_tokens": aimPer1000},
		"limits": object{"cancelling": true, "may_duplicate": true, "send_cap": s.MaxAttempts, "probing": s.Probes, "conn_idle": 15000 * us,
			"connect_timeout": 250 * us, "retry_after": s.MaxRetryAfterMs > 0, "max_retry_after": s.MaxRetryAfterMs * us, "max_open": 20000},
		"rules": object{"answer_slack": 8 * us, "cold_from": 0.34, "ramp_time": 13000 * us, "overload_factor": 2.5, "fall": 2000 * us,
			"drain_grace": s.DrainGraceMs * us}})
	return text
}
