/**
 * Measurements, run by hand through {@code bench/}; nothing here is part of the tests. Results
 * stand in {@code docs/BENCHMARKS.md}.
 */
package leadferry.bench;
