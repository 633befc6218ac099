package leadferry.http;

/** Eviction class of a client connection; the classes declared first are evicted first. */
enum EvictionOrder {
  /** The last response was written, and the connection only awaits its close. */
  RESPONDED,
  /** The client has never sent a request; regular clients send one immediately after connecting. */
  SILENT,
  /** No request is open. */
  IDLE,
  /** An incomplete request is overdue. */
  PARTIAL_REQUEST,
  /** The connection must not be evicted. */
  NEVER
}
