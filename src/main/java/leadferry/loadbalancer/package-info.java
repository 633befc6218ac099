/**
 * Load-balancing decisions: which endpoint gets an attempt, whether a request is retried, and which
 * requests are rejected. The entry point is {@link leadferry.loadbalancer.LoadBalancer}. Each rule
 * is a class of its own that contains its constants.
 *
 * <p>Endpoints are chosen by the power of d choices: of a few endpoints drawn at random, the one
 * with the fewest of this proxy's own requests in flight is chosen. Time is passed in and
 * randomness is seeded. The package does no I/O, reads no clock, starts no thread, and knows no
 * protocol.
 *
 * <p>Latency objective: the response time up to which a response of a request class has its full
 * value ({@code aim} in the settings). Time constants are multiples of the shortest latency
 * objective of all classes; their names end in {@code OBJECTIVES}.
 */
package leadferry.loadbalancer;
