/**
 * Fake upstreams, load generators and fault injection for tests, the demo and the load tool.
 * Production code does not use them. Start with {@link leadferry.testbed.FakeUpstream}, an upstream
 * in which faults can be injected, and {@link leadferry.testbed.ExecutionLog}, which records where
 * each request ran.
 */
package leadferry.testbed;
