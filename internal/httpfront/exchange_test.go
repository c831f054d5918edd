package httpfront

import (
	"context"
	"slices"
	"testing"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

// bodylessTransport is a bridge's transport that records where it releases.
type bodylessTransport struct {
	released *[]string
	hasBody  bool
}

func (b bodylessTransport) Try(context.Context, core.Attempt) core.Result { return core.Result{} }

func (b bodylessTransport) Release(_ context.Context, at core.Worker) error {
	if !b.hasBody {
		*b.released = append(*b.released, at.ID)
	}
	return nil
}

func (b bodylessTransport) WithoutBody() core.Transport { return bodylessTransport{b.released, false} }

// Once there is an answer, the body is not kept for releases, which still reach workers that speak another protocol, and no
// attempt is made any more.
func TestExchangeReleasesWithoutItsBody(t *testing.T) {
	var released []string
	x := &Exchange{Body: []byte("{}"), bridged: []wireTransport{{"other", bodylessTransport{&released, true}}}}
	x.DropBody()
	worker := core.Worker{Wire: "other", Server: decide.Server{ID: "a"}}
	if err := x.Release(t.Context(), worker); err != nil || !slices.Equal(released, []string{"a"}) {
		t.Errorf("released at %v, %v", released, err)
	}
	if res := x.Try(t.Context(), core.Attempt{To: worker, MaySend: func() bool { return true }}); res.Status != decide.Unsent {
		t.Errorf("an attempt without the body: %+v", res)
	}
}
