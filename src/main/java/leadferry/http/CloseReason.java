package leadferry.http;

import java.util.Locale;

/**
 * Reason for which the load balancer closed a client connection; logged by its name in lower case.
 */
enum CloseReason {
  /** The connection was idle for longer than the settings allow. */
  IDLE,
  /** The remaining input of a request arrived too slowly. */
  SLOW,
  /** The client does not read its response. */
  STALLED,
  /** The process drains or sheds its clients. */
  DRAINING,
  /** The connection was evicted because its descriptor is needed for another one. */
  MAKE_ROOM;

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
