package leadferry.http;

import io.netty.util.ByteProcessor;

/**
 * Reads the bytes of a request's head beside netty's decoder and stops at the first that RFC 9112
 * does not allow: sections 3 (one space between the three parts of the request line, the exact name
 * of the protocol), 5.1 (a name is a token, the colon right behind it), 5.2 (no line continued) and
 * 2.2 (lines end with CR LF; one empty line may stand ahead), 6.3 (one {@code Content-Length}, of
 * digits: of several, netty takes the first that an HTTP/1.0 client sends).
 *
 * <p>Guards hosts against a head that they and this program would read in two ways: netty's decoder
 * takes tabs, several spaces and other spellings of the protocol for the one it knows. It does harm
 * to clients that send such heads without need: they get a 400.
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
  private boolean inContentLength;

  /** Another head begins. */
  void reset() {
    state = State.START;
    emptyLineSeen = false;
    position = 0;
    contentLengthCount = 0;
  }

  boolean isDone() {
    return state == State.DONE;
  }

  boolean isInvalid() {
    return state == State.INVALID;
  }

  /** Whether this text is a token (RFC 9110, 5.6.2). */
  static boolean isToken(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) >= 128 || !TOKEN_CHARACTERS[text.charAt(i)]) {
        return false;
      }
    }
    return !text.isEmpty();
  }

  /** Takes a byte; false once the head has ended or is faulty. */
  @Override
  public boolean process(byte b) {
    state =
        switch (state) {
          case START ->
              b == '\r' && !emptyLineSeen ? State.EMPTY_LINE : tokenState(b, State.METHOD);
          case EMPTY_LINE -> {
            emptyLineSeen = true;
            yield b == '\n' ? State.START : State.INVALID;
          }
          case METHOD -> b == ' ' ? beginPart(State.TARGET) : tokenState(b, State.METHOD);
          case TARGET -> {
            if (b == ' ' && position > 0) {
              yield beginPart(State.VERSION);
            }
            position++;
            yield b > ' ' && b < 0x7f ? State.TARGET : State.INVALID;
          }
          case VERSION -> versionState(b);
          case LINE_END -> b == '\n' ? State.NAME_START : State.INVALID;
          case NAME_START -> {
            position = 0;
            yield b == '\r' ? State.HEAD_END : nameState(b);
          }
          case NAME -> b == ':' ? valueState() : nameState(b);
          case VALUE ->
              b == '\r'
                  ? State.LINE_END
                  : inContentLength && b != ' ' && b != '\t' && (b < '0' || b > '9')
                      ? State.INVALID
                      : (b >= ' ' && b != 0x7f) || b == '\t' || b < 0 ? State.VALUE : State.INVALID;
          case HEAD_END -> b == '\n' ? State.DONE : State.INVALID;
          case DONE, INVALID -> state;
        };
    return state != State.DONE && state != State.INVALID;
  }

  /**
   * Another octet of a name; {@code length} counts those that fit {@link #CONTENT_LENGTH}, or is
   * -1.
   */
  private State nameState(byte octet) {
    boolean fits =
        position >= 0
            && position < CONTENT_LENGTH.length()
            && (octet | 0x20) == CONTENT_LENGTH.charAt(position);
    position = fits ? position + 1 : -1;
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
    boolean fits = expected == 'd' ? octet >= '0' && octet <= '9' : octet == expected;
    return fits ? State.VERSION : State.INVALID;
  }
}
