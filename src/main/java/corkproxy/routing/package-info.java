/**
 * Which route a request takes and which pool of a split: decisions only, no I/O, no protocol types.
 * Begin with {@link corkproxy.routing.RouteTable}, whose comment states the order of precedence;
 * {@link corkproxy.routing.PathForm} makes the path that it is given, {@link
 * corkproxy.routing.RouteCheck} finds routes that can't win. Knows nothing of servers.
 */
package corkproxy.routing;
