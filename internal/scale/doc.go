// Package scale is the parent of the project's scale tests: simulated components that stand for a large fleet at low
// cost, and runs that measure a router among them. docs/CAPACITY.md quotes their figures.
//
//   - hollow: workers that speak the platform's protocol and do no work
//   - registry: a discovery service that lists them and counts what it sends
//   - load: clients of one router
//   - procstat: resource usage of a process, as the kernel reports it
//   - linefit: a straight line through measurements
//   - onerouter: one real router among these components
//   - listrun: how changes of the list of workers reach all routers
//   - settingsrun: how soon a router applies changed settings
//   - watchers: simulated routers that watch the list at discovery
//   - fleetsim: hundreds of decision modules on a virtual clock
//   - virtualclock, toyserver: shared by fleetsim and the tests of package decide
//   - soak: random faults in real router and worker processes
//   - faultproxy, clockstep: network faults and steps of the wall clock, for soak and other tests
//
// Nothing here is part of a router, and a router imports none of it.
package scale
