/**
 * The decision module: which endpoint an attempt goes to, whether a request is tried again, what is
 * rejected. Begin with {@link leadferry.loadbalancer.LoadBalancer}; each rule stands in a class
 * named for it, with its constants.
 *
 * <p>Power of d choices: of a few endpoints drawn at random, the one with the fewest of this
 * proxy's own requests in flight wins. Time is passed in and randomness is seeded; no I/O, no
 * clock, no thread, and no knowledge of any protocol.
 */
package leadferry.loadbalancer;
