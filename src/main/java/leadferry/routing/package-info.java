/**
 * Selection of the route of a request and of a pool of a weighted split. Contains decisions only:
 * no I/O, no protocol types and nothing about servers. Begin with {@link
 * leadferry.routing.RouteTable}, which states the order of precedence. {@link
 * leadferry.routing.NormalizedPath} normalizes the path to match, and {@link
 * leadferry.routing.ShadowedRouteFinder} finds unreachable routes.
 */
package leadferry.routing;
