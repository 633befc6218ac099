package leadferry.daemon;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import org.slf4j.event.KeyValuePair;

/**
 * Writes a record as one line. Guards readers against a value that a caller chose: in text, control
 * characters become spaces, and no text is longer than {@link #MAX_TEXT_CHARS}.
 */
final class RecordEncoder extends EncoderBase<ILoggingEvent> {
  /** Characters of one text, and of a stack. */
  private static final int MAX_TEXT_CHARS = 300;

  private static final int MAX_STACK_CHARS = 8_192;
  private static final byte[] NO_BYTES = {};

  private final JsonFactory json = new JsonFactory();
  private final LogFormat format;

  /** One that is ready to write. */
  RecordEncoder(LoggerContext context, LogFormat form) {
    this.format = form;
    setContext(context);
    start();
  }

  @Override
  public byte[] headerBytes() {
    return NO_BYTES;
  }

  @Override
  public byte[] footerBytes() {
    return NO_BYTES;
  }

  @Override
  public byte[] encode(ILoggingEvent e) {
    return (format == LogFormat.JSON ? json(e) : text(e)).getBytes(StandardCharsets.UTF_8);
  }

  private static String time(ILoggingEvent e) {
    return Instant.ofEpochMilli(e.getTimeStamp()).toString();
  }

  private static String level(ILoggingEvent e) {
    return e.getLevel().toString().toLowerCase(Locale.ROOT);
  }

  private static List<KeyValuePair> fields(ILoggingEvent e) {
    return e.getKeyValuePairs() == null ? List.of() : e.getKeyValuePairs();
  }

  private static boolean isFromLibrary(ILoggingEvent e) {
    return !e.getLoggerName().equals(DaemonLog.LOGGER);
  }

  private static String truncate(String s, int most) {
    return s.length() <= most ? s : s.substring(0, most) + "...";
  }

  private static String stack(ILoggingEvent e) {
    return truncate(ThrowableProxyUtil.asString(e.getThrowableProxy()), MAX_STACK_CHARS);
  }

  private String text(ILoggingEvent e) {
    StringBuilder s = new StringBuilder(time(e)).append(' ').append(level(e)).append(' ');
    if (isFromLibrary(e)) {
      s.append(e.getLoggerName()).append(": ");
    }
    s.append(replaceControlCharacters(e.getFormattedMessage()));
    for (KeyValuePair f : fields(e)) {
      String v = replaceControlCharacters(String.valueOf(f.value));
      s.append(' ').append(f.key).append('=');
      s.append(
          v.isEmpty() || v.indexOf(' ') >= 0 || v.indexOf('"') >= 0
              ? '"' + v.replace("\"", "'") + '"'
              : v);
    }
    s.append('\n');
    if (e.getThrowableProxy() != null) {
      s.append(stack(e)).append('\n');
    }
    return s.toString();
  }

  private static String replaceControlCharacters(String s) {
    String c = truncate(s, MAX_TEXT_CHARS);
    StringBuilder out = null;
    for (int i = 0; i < c.length(); i++) {
      if (Character.isISOControl(c.charAt(i))
          || c.charAt(i) == '\u2028'
          || c.charAt(i) == '\u2029') {
        out = out == null ? new StringBuilder(c) : out;
        out.setCharAt(i, ' ');
      }
    }
    return out == null ? c : out.toString();
  }

  private String json(ILoggingEvent e) {
    StringWriter out = new StringWriter(256);
    try (JsonGenerator g = json.createGenerator(out)) {
      g.writeStartObject();
      g.writeStringField("time", time(e));
      g.writeStringField("level", level(e));
      g.writeStringField("event", truncate(e.getFormattedMessage(), MAX_TEXT_CHARS));
      if (isFromLibrary(e)) {
        g.writeStringField("library", e.getLoggerName());
      }
      for (KeyValuePair f : fields(e)) {
        g.writeFieldName(f.key);
        if (f.value instanceof Long || f.value instanceof Integer) {
          g.writeNumber(((Number) f.value).longValue());
        } else if (f.value instanceof Double d && Double.isFinite(d)) {
          g.writeNumber(d);
        } else if (f.value instanceof Boolean b) {
          g.writeBoolean(b);
        } else {
          g.writeString(truncate(String.valueOf(f.value), MAX_TEXT_CHARS));
        }
      }
      if (e.getThrowableProxy() != null) {
        g.writeStringField("stack", stack(e));
      }
      g.writeEndObject();
    } catch (IOException x) {
      throw new UncheckedIOException(x); // a StringWriter has none
    }
    return out.append('\n').toString();
  }
}
