package leadferry.http;

/**
 * Selects whether the bodies of a request and its response are streamed, that is, forwarded before
 * they are complete.
 */
public enum Streaming {
  /** Bodies are never streamed; a body over its limit is rejected. */
  NEVER,

  /**
   * Bodies that are too long to be held in memory are streamed. The time budget of such a request
   * counts from its last byte; such a response meets the deadline with its first byte.
   */
  LARGE,

  /** All bodies are streamed from their first byte. */
  ALWAYS
}
