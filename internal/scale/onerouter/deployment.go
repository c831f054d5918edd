package onerouter

import (
	"context"
	"errors"
	"sync"

	"rowanyard/internal/scale/hollow"
	"rowanyard/internal/scale/load"
	"rowanyard/internal/scale/registry"
)

// Deployment is one real router, simulated workers, and the discovery service that lists them.
type Deployment struct {
	Registry *registry.Registry
	Router   *Process
	fleet    *hollow.Fleet
}

// Deploy starts a deployment and waits until the router is ready.
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

// startRouter starts the router with its own endpoint of discovery, so that its traffic is counted separately.
func (d *Deployment) startRouter(ctx context.Context, o Options) error {
	endpoint, err := d.Registry.AddEndpoint()
	if err != nil {
		return err
	}
	d.Router, err = Start(ctx, o, d.fleet, endpoint, d.Registry.Hosts())
	return err
}

// StartLoad starts the clients and, if configured, the scrapes of metrics. The returned function stops both and
// returns the outcomes of the requests; it may be called more than once.
func (d *Deployment) StartLoad(ctx context.Context, o Options) (end func() load.Result) {
	loadCtx, stop := context.WithCancel(ctx)
	result := make(chan load.Result, 1)
	go func() {
		result <- load.Run(loadCtx, load.Options{Address: d.Router.address, Rate: o.Rate, Seed: o.Seed, Class: className, Prompt: o.Prompt})
	}()
	if o.Scrape > 0 {
		go d.Router.scraper.run(loadCtx, o.Scrape)
	}
	return sync.OnceValue(func() load.Result {
		stop()
		return <-result
	})
}

// Close stops everything.
func (d *Deployment) Close() (err error) {
	if d.Router != nil {
		err = d.Router.Stop()
	}
	d.Registry.Close()
	d.fleet.Close()
	return err
}
