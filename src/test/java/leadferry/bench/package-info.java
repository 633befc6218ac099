/**
 * Benchmarks and simulations, started by hand through the scripts in {@code bench/}; {@link
 * leadferry.bench.FleetTest} runs with the tests. Results are in {@code docs/BENCHMARKS.md}.
 */
package leadferry.bench;
