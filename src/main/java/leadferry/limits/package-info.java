/**
 * Limits on what a client may use: rates, concurrency and retries. Contains decisions only, without
 * I/O; callers pass the time. Begin with {@link leadferry.limits.Limiter}. A request refused here
 * is refused before any attempt; the load balancer decides about the attempts of admitted requests.
 */
package leadferry.limits;
