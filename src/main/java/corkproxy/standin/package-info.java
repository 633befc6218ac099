/**
 * Servers, senders and faults for tests, the demo and the load tool; nothing in production uses
 * them. Begin with {@link corkproxy.standin.HttpStandIn}, a host that can be made to misbehave, and
 * {@link corkproxy.standin.Ledger}, which knows what ran where and judges the rules by it.
 */
package corkproxy.standin;
