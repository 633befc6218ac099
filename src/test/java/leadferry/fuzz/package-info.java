/**
 * Whatever bytes come to the front reach a host as the request that they are by the RFC's grammar,
 * or not at all. Begin with {@code HttpServerFuzzer}; {@code StrictReader} is the second reading.
 */
package leadferry.fuzz;
