package leadferry.http;

/** Whether the bodies of a request and of its answer go on while they come. */
public enum Streaming {
  /** Never: a body past its bound is none that is taken. */
  NEVER,

  /**
   * Those that are longer than what is held whole. Such a request's time counts from its last byte;
   * such an answer is in time with its first.
   */
  LARGE,

  /** All, from their heads on. */
  ALWAYS
}
