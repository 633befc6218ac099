/**
 * Servers, senders and faults for tests, the demo and the load tool; nothing in production uses
 * them. Begin with {@link leadferry.testbed.FakeUpstream}, a host that can be made to misbehave,
 * and {@link leadferry.testbed.ExecutionLog}, which knows what ran where and judges the rules by
 * it.
 */
package leadferry.testbed;
