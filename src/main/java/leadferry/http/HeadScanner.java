package leadferry.http;

import io.netty.util.ByteProcessor;

/**
 * Validates the bytes of a request head before netty's decoder reads them, and stops at the first
 * byte that RFC 9112 does not allow. It checks section 3 (single spaces between the three parts of
 * the request line, exact protocol name), 5.1 (a field name is a token, directly followed by the
 * colon), 5.2 (no line folding), 2.2 (lines end with CR LF; one empty line may precede the request
 * line) and 6.3 (one {@code Content-Length}, of digits only: if an HTTP/1.0 client sends several,
 * netty uses the first one).
 *
 * <p>Guards upstream hosts against heads that they and the load balancer would interpret
 * differently: netty's decoder accepts tabs, repeated spaces and other spellings of the protocol
 * name. Drawback: clients that send such heads without harmful intent get a 400.
 *
 * <pre>
 *   START -> METHOD -> TARGET -> VERSION -> LINE_END -> NAME -> VALUE -> LINE_END ... -> HEAD_END -> done
 * </pre>
 */
final class HeadScanner implements ByteProcessor {
  private enum State {
    START,
    EMPTY_LINE,
    METHOD,
    TARGET,
    VERSION,
    LINE_END,
    NAME_START,
    NAME,
    VALUE,
    HEAD_END,
    DONE,
    INVALID
  }

  private static final String CONTENT_LENGTH = "content-length";
  private static final String VERSION = "HTTP/d.d";
  private static final boolean[] TOKEN_CHARACTERS = new boolean[128];

  static {
    for (char c = '0'; c <= 'z'; c++) {
      TOKEN_CHARACTERS[c] = Character.isLetterOrDigit(c);
    }
    for (char c : "!#$%&'*+-.^_`|~".toCharArray()) {
      TOKEN_CHARACTERS[c] = true;
    }
  }

  private State state = State.START;
  private boolean emptyLineSeen;
  private int position;
  private int contentLengthCount;
  private int fieldCount;
  private boolean inContentLength;

  /** Prepares for the next head. */
  void reset() {
    state = State.START;
    emptyLineSeen = false;
    position = 0;
    contentLengthCount = 0;
    fieldCount = 0;
  }

  boolean isDone() {
    return state == State.DONE;
  }

  boolean isInvalid() {
    return state == State.INVALID;
  }

  /** Whether the head is invalid because it has more than {@link HeadBudget#MAX_FIELDS} fields. */
  boolean hasTooManyFields() {
    return fieldCount > HeadBudget.MAX_FIELDS;
  }

  /** Whether the text is a token (RFC 9110, 5.6.2). */
  static boolean isToken(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) >= 128 || !TOKEN_CHARACTERS[text.charAt(i)]) {
        return false;
      }
    }
    return !text.isEmpty();
  }

  /** Processes one byte; returns false once the head is complete or invalid. */
  @Override
  public boolean process(byte octet) {
    state =
        switch (state) {
          case START ->
              octet == '\r' && !emptyLineSeen ? State.EMPTY_LINE : tokenState(octet, State.METHOD);
          case EMPTY_LINE -> {
            emptyLineSeen = true;
            yield octet == '\n' ? State.START : State.INVALID;
          }
          case METHOD -> octet == ' ' ? beginPart(State.TARGET) : tokenState(octet, State.METHOD);
          case TARGET -> {
            if (octet == ' ' && position > 0) {
              yield beginPart(State.VERSION);
            }
            position++;
            yield octet > ' ' && octet < 0x7f ? State.TARGET : State.INVALID;
          }
          case VERSION -> versionState(octet);
          case LINE_END -> octet == '\n' ? State.NAME_START : State.INVALID;
          case NAME_START -> {
            position = 0;
            yield octet == '\r' ? State.HEAD_END : firstNameState(octet);
          }
          case NAME -> octet == ':' ? valueState() : nameState(octet);
          case VALUE ->
              octet == '\r'
                  ? State.LINE_END
                  : inContentLength && octet != ' ' && octet != '\t' && (octet < '0' || octet > '9')
                      ? State.INVALID
                      : (octet >= ' ' && octet != 0x7f) || octet == '\t' || octet < 0
                          ? State.VALUE
                          : State.INVALID;
          case HEAD_END -> octet == '\n' ? State.DONE : State.INVALID;
          case DONE, INVALID -> state;
        };
    return state != State.DONE && state != State.INVALID;
  }

  private State firstNameState(byte octet) {
    fieldCount++;
    return hasTooManyFields() ? State.INVALID : nameState(octet);
  }

  /**
   * Processes an octet of a field name; {@code position} counts the octets that match {@link
   * #CONTENT_LENGTH}, or is -1 after a mismatch.
   */
  private State nameState(byte octet) {
    boolean matches =
        position >= 0
            && position < CONTENT_LENGTH.length()
            && (octet | 0x20) == CONTENT_LENGTH.charAt(position);
    position = matches ? position + 1 : -1;
    return tokenState(octet, State.NAME);
  }

  private State valueState() {
    inContentLength = position == CONTENT_LENGTH.length();
    return inContentLength && contentLengthCount++ > 0 ? State.INVALID : State.VALUE;
  }

  private static State tokenState(byte octet, State next) {
    return octet >= 0 && TOKEN_CHARACTERS[octet] ? next : State.INVALID;
  }

  private State beginPart(State next) {
    position = 0;
    return next;
  }

  private State versionState(byte octet) {
    if (position == VERSION.length()) {
      return octet == '\r' ? State.LINE_END : State.INVALID;
    }
    char expected = VERSION.charAt(position++);
    boolean matches = expected == 'd' ? octet >= '0' && octet <= '9' : octet == expected;
    return matches ? State.VERSION : State.INVALID;
  }
}
