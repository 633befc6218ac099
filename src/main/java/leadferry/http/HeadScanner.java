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
    FAULTY
  }

  private static final String LENGTH = "content-length";
  private static final String VERSION = "HTTP/d.d";
  private static final boolean[] TOKEN = new boolean[128];

  static {
    for (char c = '0'; c <= 'z'; c++) {
      TOKEN[c] = Character.isLetterOrDigit(c);
    }
    for (char c : "!#$%&'*+-.^_`|~".toCharArray()) {
      TOKEN[c] = true;
    }
  }

  private State state = State.START;
  private boolean emptyLine;
  private int length;
  private int lengths;
  private boolean inLength;

  /** Another head begins. */
  void reset() {
    state = State.START;
    emptyLine = false;
    length = 0;
    lengths = 0;
  }

  boolean done() {
    return state == State.DONE;
  }

  boolean faulty() {
    return state == State.FAULTY;
  }

  /** Whether this text is a token (RFC 9110, 5.6.2). */
  static boolean token(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) >= 128 || !TOKEN[text.charAt(i)]) {
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
          case START -> b == '\r' && !emptyLine ? State.EMPTY_LINE : part(b, State.METHOD);
          case EMPTY_LINE -> {
            emptyLine = true;
            yield b == '\n' ? State.START : State.FAULTY;
          }
          case METHOD -> b == ' ' ? begin(State.TARGET) : part(b, State.METHOD);
          case TARGET -> {
            if (b == ' ' && length > 0) {
              yield begin(State.VERSION);
            }
            length++;
            yield b > ' ' && b < 0x7f ? State.TARGET : State.FAULTY;
          }
          case VERSION -> version(b);
          case LINE_END -> b == '\n' ? State.NAME_START : State.FAULTY;
          case NAME_START -> {
            length = 0;
            yield b == '\r' ? State.HEAD_END : name(b);
          }
          case NAME -> b == ':' ? value() : name(b);
          case VALUE ->
              b == '\r'
                  ? State.LINE_END
                  : inLength && b != ' ' && b != '\t' && (b < '0' || b > '9')
                      ? State.FAULTY
                      : (b >= ' ' && b != 0x7f) || b == '\t' || b < 0 ? State.VALUE : State.FAULTY;
          case HEAD_END -> b == '\n' ? State.DONE : State.FAULTY;
          case DONE, FAULTY -> state;
        };
    return state != State.DONE && state != State.FAULTY;
  }

  /** Another octet of a name; {@code length} counts those that fit {@link #LENGTH}, or is -1. */
  private State name(byte octet) {
    boolean fits =
        length >= 0 && length < LENGTH.length() && (octet | 0x20) == LENGTH.charAt(length);
    length = fits ? length + 1 : -1;
    return part(octet, State.NAME);
  }

  private State value() {
    inLength = length == LENGTH.length();
    return inLength && lengths++ > 0 ? State.FAULTY : State.VALUE;
  }

  private static State part(byte octet, State next) {
    return octet >= 0 && TOKEN[octet] ? next : State.FAULTY;
  }

  private State begin(State next) {
    length = 0;
    return next;
  }

  private State version(byte octet) {
    if (length == VERSION.length()) {
      return octet == '\r' ? State.LINE_END : State.FAULTY;
    }
    char expected = VERSION.charAt(length++);
    boolean fits = expected == 'd' ? octet >= '0' && octet <= '9' : octet == expected;
    return fits ? State.VERSION : State.FAULTY;
  }
}
