package onerouter

import (
	"context"
	"errors"
	"sync"

	"rowanyard/internal/scale/hollow"
	"rowanyard/internal/scale/load"
	"rowanyard/internal/scale/registry"
)

// Deployment is one real router before hollow workers, and the discovery that lists them.
type Deployment struct {
	Registry *registry.Registry
	Router   *Process
	fleet    *hollow.Fleet
}

// Deploy starts everything and waits until the router is ready.
func Deploy(ctx context.Context, o Options) (*Deployment, error) {
	fleet, err := hollow.Start(hollow.Options{Workers: o.Workers, Readers: o.Readers, Tokens: o.Tokens, TokenTime: o.TokenTime})
	if err != nil {
		return nil, err
	}
	d := &Deployment{fleet: fleet, Registry: registry.New(Entries(fleet, o.Workers, o.Zones))}
	if err := d.startRouter(ctx, o); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// startRouter starts the router at an address of discovery that is its own.
func (d *Deployment) startRouter(ctx context.Context, o Options) error {
	door, err := d.Registry.Open()
	if err != nil {
		return err
	}
	d.Router, err = Start(ctx, o, d.fleet, door, d.Registry.Hosts())
	return err
}

// Play plays the clients of a run, and whoever asks for metrics. The function that it returns ends that and tells how the
// clients fared; it may be called again.
func (d *Deployment) Play(ctx context.Context, o Options) (end func() load.Result) {
	playing, stop := context.WithCancel(ctx)
	played := make(chan load.Result, 1)
	go func() {
		played <- load.Run(playing, load.Options{Address: d.Router.address, Rate: o.Rate, Seed: o.Seed, Class: className, Prompt: o.Prompt})
	}()
	if o.Scrape > 0 {
		go d.Router.scraper.run(playing, o.Scrape)
	}
	return sync.OnceValue(func() load.Result {
		stop()
		return <-played
	})
}

// Close ends everything.
func (d *Deployment) Close() (err error) {
	if d.Router != nil {
		err = d.Router.End()
	}
	d.Registry.Close()
	d.fleet.Close()
	return err
}
