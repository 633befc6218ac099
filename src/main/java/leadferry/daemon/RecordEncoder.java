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
 * Encodes a record as one line.
 *
 * <p>Guards against values chosen by a client that would forge or flood the log: in text, control
 * characters become spaces, and no text is longer than {@link #MAX_TEXT_CHARS}.
 */
final class RecordEncoder extends EncoderBase<ILoggingEvent> {
  /** Maximum length of one text, in characters. */
  private static final int MAX_TEXT_CHARS = 300;

  private static final int MAX_STACK_CHARS = 8_192;
  private static final byte[] NO_BYTES = {};

  private final JsonFactory json = new JsonFactory();
  private final LogFormat format;

  /** Creates an encoder and starts it. */
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
  public byte[] encode(ILoggingEvent event) {
    return (format == LogFormat.JSON ? json(event) : text(event)).getBytes(StandardCharsets.UTF_8);
  }

  private static String time(ILoggingEvent event) {
    return Instant.ofEpochMilli(event.getTimeStamp()).toString();
  }

  private static String level(ILoggingEvent event) {
    return event.getLevel().toString().toLowerCase(Locale.ROOT);
  }

  private static List<KeyValuePair> fields(ILoggingEvent event) {
    return event.getKeyValuePairs() == null ? List.of() : event.getKeyValuePairs();
  }

  private static boolean isFromLibrary(ILoggingEvent event) {
    return !event.getLoggerName().equals(DaemonLog.LOGGER);
  }

  private static String truncate(String text, int maxChars) {
    return text.length() <= maxChars ? text : text.substring(0, maxChars) + "...";
  }

  private static String stack(ILoggingEvent event) {
    return truncate(ThrowableProxyUtil.asString(event.getThrowableProxy()), MAX_STACK_CHARS);
  }

  private String text(ILoggingEvent event) {
    StringBuilder line =
        new StringBuilder(time(event)).append(' ').append(level(event)).append(' ');
    if (isFromLibrary(event)) {
      line.append(event.getLoggerName()).append(": ");
    }
    line.append(replaceControlCharacters(event.getFormattedMessage()));
    for (KeyValuePair field : fields(event)) {
      String value = replaceControlCharacters(String.valueOf(field.value));
      line.append(' ').append(field.key).append('=');
      line.append(
          value.isEmpty() || value.indexOf(' ') >= 0 || value.indexOf('"') >= 0
              ? '"' + value.replace("\"", "'") + '"'
              : value);
    }
    line.append('\n');
    if (event.getThrowableProxy() != null) {
      line.append(stack(event)).append('\n');
    }
    return line.toString();
  }

  private static String replaceControlCharacters(String text) {
    String truncated = truncate(text, MAX_TEXT_CHARS);
    StringBuilder cleaned = null;
    for (int i = 0; i < truncated.length(); i++) {
      if (Character.isISOControl(truncated.charAt(i))
          || truncated.charAt(i) == '\u2028'
          || truncated.charAt(i) == '\u2029') {
        cleaned = cleaned == null ? new StringBuilder(truncated) : cleaned;
        cleaned.setCharAt(i, ' ');
      }
    }
    return cleaned == null ? truncated : cleaned.toString();
  }

  private String json(ILoggingEvent event) {
    StringWriter out = new StringWriter(256);
    try (JsonGenerator generator = json.createGenerator(out)) {
      generator.writeStartObject();
      generator.writeStringField("time", time(event));
      generator.writeStringField("level", level(event));
      generator.writeStringField("event", truncate(event.getFormattedMessage(), MAX_TEXT_CHARS));
      if (isFromLibrary(event)) {
        generator.writeStringField("library", event.getLoggerName());
      }
      for (KeyValuePair field : fields(event)) {
        generator.writeFieldName(field.key);
        if (field.value instanceof Long || field.value instanceof Integer) {
          generator.writeNumber(((Number) field.value).longValue());
        } else if (field.value instanceof Double number && Double.isFinite(number)) {
          generator.writeNumber(number);
        } else if (field.value instanceof Boolean flag) {
          generator.writeBoolean(flag);
        } else {
          generator.writeString(truncate(String.valueOf(field.value), MAX_TEXT_CHARS));
        }
      }
      if (event.getThrowableProxy() != null) {
        generator.writeStringField("stack", stack(event));
      }
      generator.writeEndObject();
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible); // a StringWriter never throws
    }
    return out.append('\n').toString();
  }
}
