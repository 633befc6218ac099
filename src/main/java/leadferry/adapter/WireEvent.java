package leadferry.adapter;

/**
 * Events of the simulator's wire format that the adapter receives, with their names on the wire.
 */
enum WireEvent {
  ATTEMPT_OUTCOME("outcome"),
  REQUEST_ARRIVAL("inbound"),
  TIMER("wake"),
  /**
   * The entries of an endpoint list, stored under a number to which {@link #ENDPOINT_LIST} events
   * refer.
   */
  ENDPOINT_BUFFER("ledger"),
  /** One entry of an endpoint buffer. */
  ENDPOINT_ENTRY("host"),
  ENDPOINT_LIST("membership"),
  LOAD_REPORT("probed"),
  CLIENT_DISCONNECT("gone"),
  FIRST_BYTE("first_byte"),
  INSTANCE_START("new_instance"),
  INSTANCE_STOP("retire"),
  GOSSIP_MESSAGE("heard"),
  BATCH_START("sync"),
  BATCH_END("eob"),
  /** An event that this version does not know. */
  UNKNOWN("");

  private static final WireEvent[] ALL = values();

  private final String word;

  WireEvent(String word) {
    this.word = word;
  }

  /** Returns the event of the line. */
  static WireEvent of(WireLine line) {
    for (WireEvent event : ALL) {
      if (line.hasName(event.word)) {
        return event;
      }
    }
    return UNKNOWN;
  }
}
