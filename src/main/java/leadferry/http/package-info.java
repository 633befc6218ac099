/**
 * HTTP/1.1 on the engine. Begin with {@link leadferry.http.HttpServer}, which knows the clients of
 * a listener, and {@code ClientConnection}, one of them: {@code RequestIntake} reads its requests
 * (head, body, admission), {@code ResponseWriter} writes the responses; {@link
 * leadferry.http.RequestFilter} is asked what becomes of each head; {@code HttpAttempt} reads a
 * server's response. Knows neither the operator's file nor the platform.
 */
package leadferry.http;
