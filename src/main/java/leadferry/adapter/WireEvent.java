package leadferry.adapter;

/** The lines of the simulator's wire that reach the adapter: the field's term, the wire's word. */
enum WireEvent {
  ATTEMPT_OUTCOME("outcome"),
  REQUEST_ARRIVAL("inbound"),
  TIMER("wake"),
  /** The entries of an endpoint list, kept under a number until a list names it. */
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
  /** A word that a later wire may bring. */
  UNKNOWN("");

  private static final WireEvent[] ALL = values();

  private final String word;

  WireEvent(String word) {
    this.word = word;
  }

  /** What the line is. */
  static WireEvent of(WireLine line) {
    for (WireEvent event : ALL) {
      if (line.hasName(event.word)) {
        return event;
      }
    }
    return UNKNOWN;
  }
}
