/**
 * How much a caller may take: rates, concurrency, retries. Decisions only, no I/O; time is passed
 * in. Begin with {@link leadferry.limits.Limiter}. What is refused here is refused before any
 * attempt; what is let through is the decision module's.
 */
package leadferry.limits;
