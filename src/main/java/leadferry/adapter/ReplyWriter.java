package leadferry.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the lines of one reply as bytes. */
final class ReplyWriter {
  private byte[] buffer = new byte[1 << 14];
  private int size;

  ReplyWriter writeWord(String word) {
    int count = word.length();
    ensureCapacity(count);
    for (int i = 0; i < count; i++) {
      buffer[size++] = (byte) word.charAt(i);
    }
    return this;
  }

  ReplyWriter writeNumber(long value) {
    ensureCapacity(20);
    if (value < 0) {
      buffer[size++] = '-';
      value = -value;
    }
    int first = size;
    do {
      buffer[size++] = (byte) ('0' + value % 10);
      value /= 10;
    } while (value > 0);
    for (int i = first, j = size - 1; i < j; i++, j--) {
      byte digit = buffer[i];
      buffer[i] = buffer[j];
      buffer[j] = digit;
    }
    return this;
  }

  /** Writes a time in milliseconds with up to three decimals. */
  ReplyWriter writeMillis(double millis) {
    long micros = Math.round(millis * 1000);
    if (micros < 0) {
      writeWord("-");
      micros = -micros;
    }
    writeNumber(micros / 1000);
    long rest = micros % 1000;
    if (rest > 0) {
      ensureCapacity(4);
      buffer[size++] = '.';
      buffer[size++] = (byte) ('0' + rest / 100);
      buffer[size++] = (byte) ('0' + rest / 10 % 10);
      buffer[size++] = (byte) ('0' + rest % 10);
    }
    return this;
  }

  /** Writes free text. Line breaks are replaced by spaces. */
  ReplyWriter writeText(String text) {
    byte[] bytes = text.replace('\n', ' ').replace('\r', ' ').getBytes(StandardCharsets.UTF_8);
    ensureCapacity(bytes.length);
    System.arraycopy(bytes, 0, buffer, size, bytes.length);
    size += bytes.length;
    return this;
  }

  void endLine() {
    ensureCapacity(1);
    buffer[size++] = '\n';
  }

  private void ensureCapacity(int count) {
    if (size + count > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + count));
    }
  }

  void flush(OutputStream out) throws IOException {
    out.write(buffer, 0, size);
    out.flush();
    size = 0;
  }
}
