/**
 * HTTP/1.1 server and HTTP/1.1 upstream protocol on top of the engine. {@link
 * leadferry.http.HttpServer} owns the client connections of one listener; {@code ClientConnection}
 * is one of them. {@code RequestIntake} reads its requests (head, body, admission), {@code
 * ResponseWriter} writes the responses, and {@link leadferry.http.RequestFilter} decides how each
 * request is handled. {@code HttpAttempt} reads the response of an upstream host. The package
 * depends on neither the operator's file nor the platform's protocol. {@code platform} and {@code
 * daemon} are products that can run the proxy.
 */
package leadferry.http;
