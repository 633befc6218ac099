/**
 * Which route a request takes and which pool of a split: decisions only, no I/O, no protocol types.
 * Begin with {@link leadferry.routing.RouteTable}, whose comment states the order of precedence;
 * {@link leadferry.routing.PathNormalizer} makes the path that it is given, {@link
 * leadferry.routing.RouteCheck} finds routes that can't win. Knows nothing of servers.
 */
package leadferry.routing;
