package leadferry.http;

/** How readily a client's connection makes room for another one, the first of these first. */
enum EvictionOrder {
  /** Its last response has gone, and it only lingers. */
  RESPONDED,
  /** It has never sent a request: usual clients send one as soon as they connect. */
  SILENT,
  /** Nothing is open on it. */
  IDLE,
  /** Part of a request has come, and the rest is late. */
  PARTIAL_REQUEST,
  /** It may not make room. */
  NEVER
}
