/**
 * HTTP/1.1 on the engine. Begin with {@link corkproxy.http.Front}, which knows the clients of a
 * listener, and {@code ClientConnection}, one of them: {@code RequestIntake} reads its requests,
 * {@code AnswerWriter} writes the answers; {@link corkproxy.http.Gate} is asked what becomes of
 * each head; {@code HttpAttempt} reads a host's answer. Knows neither the operator's file nor the
 * platform.
 */
package corkproxy.http;
