package main

import (
	"bytes"
	"strings"
	"testing"
)

const settings = `{"me":0,"n_instances":1,"granularity":2000,"request_classes":[{"credit":1,"effect":"read_like",` +
	`"hard_limit":8000000,"target":2000000}],"domain":{"kind_role":["read","write"],"pin_limit":500000},` +
	`"limits":{"send_cap":4}}`

func TestRun(t *testing.T) {
	in := "tick 10 1\neof_batch\n" +
		"tick 20 2\nhello front_0 5 " + settings + "\nroster_change front_0 warm_copy 1 2\n" +
		"entry - healthy 0 0 1 0 engine.r\nentry - healthy 1 0 1 0 engine.w\n" +
		"inbound front_0 7 0 0 0b 5000000 - - 900 0 64 0\neof_batch\n" +
		"tick 60020 3\nreply front_0 7 0 engine.r half_done 60000 0 0 -\neof_batch\n" +
		"tick 60030 4\nexit front_0\nhello front_0 6 " + settings + "\nring front_0 7\neof_batch\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"next 1\n", "relay front_0 7 engine.r ", "relay front_0 7 engine.w ", "next 4\n"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "bail_out") {
		t.Error(out.String())
	}
}

func TestRunStopsOnMalformedInput(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader("tick 10 1\nring front_0\neof_batch\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "batch 1, line 2") || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v", err)
	}
}

func TestBadSettingsAreReportedAsFailure(t *testing.T) {
	var out bytes.Buffer
	in := "tick 10 1\nhello front_0 5 {\"me\":3,\"n_instances\":1}\neof_batch\n"
	if err := run(strings.NewReader(in), &out); err != nil || !strings.Contains(out.String(), "bail_out front_0") {
		t.Errorf("error %v, output %q", err, out.String())
	}
}
