// Package scale is the parent of the project's scale tests: hollow processes that stand for a large fleet at the cost of a
// small one, and the runs that measure a router among them. docs/CAPACITY.md quotes their figures.
//
//   - hollow: workers that speak the platform's protocol and do no work
//   - registry: a discovery that lists them and counts what it sends
//   - load: clients of one router
//   - procstat: what the kernel says that a process has used
//   - linefit: a straight line through measurements
//   - onerouter: one real router among them
//   - listrun: how changes of the list reach all routers
//   - watchers: hollow routers at discovery
//   - fleetsim: hundreds of decision modules on a virtual clock
//   - virtualclock, toyserver: what fleetsim and the tests of package decide share
//
// Nothing here is part of a router, and a router imports none of it.
package scale
