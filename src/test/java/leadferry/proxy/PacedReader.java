package leadferry.proxy;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reads the body of a response slowly at first, and tells how much of it came. */
public final class PacedReader {
  /** Receive buffer of a client, so small that its kernel hides little of what it has not read. */
  private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

  private static final int READS_PER_SECOND = 20;
  private static final int FAST_READ_BYTES = 64 * 1024;

  /**
   * How a client reads.
   *
   * @param bytesPerSecond rate at which it reads at first; with 0 it reads nothing
   * @param slowMillis time for which it keeps that rate; afterwards it reads as fast as it can
   */
  public record Pace(int bytesPerSecond, int slowMillis) {}

  /** Input stream whose reads are held back. */
  private static final class PacedInput extends FilterInputStream {
    private final Pace pace;
    private final long startNanos = System.nanoTime();
    private double nextReadMillis;

    PacedInput(InputStream input, Pace pace) {
      super(input);
      this.pace = pace;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      double nowMillis = (System.nanoTime() - startNanos) / 1e6;
      boolean isSlow = nowMillis < pace.slowMillis();
      if (isSlow && pace.bytesPerSecond() == 0) {
        sleep(pace.slowMillis() - nowMillis);
      } else if (isSlow) {
        sleep(Math.min(nextReadMillis, pace.slowMillis()) - nowMillis);
        int count = in.read(bytes, offset, Math.min(length, slowReadBytes()));
        nextReadMillis += 1_000.0 * Math.max(0, count) / pace.bytesPerSecond();
        return count;
      }
      return in.read(bytes, offset, length);
    }

    private int slowReadBytes() {
      return pace.bytesPerSecond() / READS_PER_SECOND;
    }

    private static void sleep(double millis) throws IOException {
      try {
        Thread.sleep((long) Math.max(0, millis));
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }

  private PacedReader() {}

  /** Connects a client with a small receive buffer. */
  public static Socket connect(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(address);
    socket.setSoTimeout(ProxyFixture.TIMEOUT_MILLIS);
    return socket;
  }

  /**
   * Reads the head of a response at once and its body at a pace.
   *
   * @return the bytes of the body that came; a chunked body without its last chunk counts one less
   * @throws IOException if no head of a response with status 200 comes
   */
  public static long readBody(Socket socket, Pace pace) throws IOException {
    InputStream input = socket.getInputStream();
    String head = readUntil(input, "\r\n\r\n");
    if (!head.startsWith("HTTP/1.1 200")) {
      throw new IOException("response: " + head);
    }
    InputStream body = new PacedInput(input, pace);
    String lowerCaseHead = head.toLowerCase(Locale.ROOT);
    if (lowerCaseHead.contains("transfer-encoding: chunked")) {
      return readChunks(body);
    }
    return count(body, Long.parseLong(lowerCaseHead.split("content-length: ")[1].split("\r")[0]));
  }

  private static long readChunks(InputStream body) throws IOException {
    long received = 0;
    try {
      while (true) {
        int length = Integer.parseInt(readUntil(body, "\r\n").trim(), 16);
        received += count(body, length);
        readUntil(body, "\r\n");
        if (length == 0) {
          return received;
        }
      }
    } catch (IOException e) {
      return received - 1; // the end of the body is missing
    }
  }

  /** Returns how many of {@code length} bytes come before the end of the connection. */
  private static long count(InputStream body, long length) {
    byte[] part = new byte[FAST_READ_BYTES];
    long received = 0;
    try {
      int count;
      while (received < length
          && (count = body.read(part, 0, (int) Math.min(part.length, length - received))) >= 0) {
        received += count;
      }
    } catch (IOException e) {
      return received;
    }
    return received;
  }

  private static String readUntil(InputStream input, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    byte[] next = new byte[1];
    while (text.length() < end.length()
        || !text.substring(text.length() - end.length()).equals(end)) {
      if (input.read(next, 0, 1) < 0) {
        throw new IOException("end of stream behind: " + text);
      }
      text.append(new String(next, StandardCharsets.ISO_8859_1));
    }
    return text.toString();
  }
}
