/**
 * Fuzz test of the HTTP server: whatever bytes a client sends, an upstream host receives either the
 * request that they form by the grammar of RFC 9112, or nothing. Entry point: {@code
 * HttpServerFuzzer}; {@code StrictReader} is the independent parser that it compares with.
 */
package leadferry.fuzz;
