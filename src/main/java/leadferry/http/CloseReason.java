package leadferry.http;

import java.util.Locale;

/** Why this side closed a client's connection. */
enum CloseReason {
  /** Nothing came on it for as long as the settings allow. */
  IDLE,
  /** The rest of a message came too slowly. */
  SLOW,
  /** The client takes nothing of its response. */
  STALLED,
  /** The process drains, or sends its clients away. */
  DRAINING,
  /** Its descriptor is needed for another connection. */
  MAKE_ROOM;

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
