package leadferry.bench;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A host of long bodies and clients that send and fetch them through what stands between: {@code
 * Streams HOST_PORT TARGET_PORT MIB AT_ONCE}. With TARGET_PORT the host's own it is the baseline.
 */
final class Streams {
  private static final int BLOCK = 64 * 1024;

  private Streams() {}

  public static void main(String[] args) throws Exception {
    int hostPort = Integer.parseInt(args[0]);
    int targetPort = Integer.parseInt(args[1]);
    long bytes = Long.parseLong(args[2]) << 20;
    int atOnce = Integer.parseInt(args[3]);
    ServerSocket host = new ServerSocket(hostPort, 64, InetAddress.getLoopbackAddress());
    daemon(
        () -> {
          while (true) {
            Socket s = host.accept();
            daemon(() -> serve(s));
          }
        });
    for (boolean up : new boolean[] {true, false}) {
      long from = System.nanoTime();
      List<Thread> clients = new ArrayList<>();
      int[] whole = {0};
      for (int i = 0; i < atOnce; i++) {
        int n = i;
        clients.add(
            daemon(
                () -> {
                  boolean ok = up ? send(targetPort, bytes, n) : fetch(targetPort, bytes, n);
                  synchronized (whole) {
                    whole[0] += ok ? 1 : 0;
                  }
                }));
      }
      for (Thread t : clients) {
        t.join();
      }
      double seconds = (System.nanoTime() - from) / 1e9;
      System.out.printf(
          Locale.ROOT,
          "%s: %d of %d whole, %.0f MiB/s%n",
          up ? "up" : "down",
          whole[0],
          atOnce,
          atOnce * (bytes >> 20) / seconds);
    }
    System.exit(0);
  }

  private interface Task {
    void run() throws Exception;
  }

  private static Thread daemon(Task what) {
    Thread t =
        new Thread(
            () -> {
              try {
                what.run();
              } catch (Exception e) {
                System.err.println(e);
              }
            });
    t.setDaemon(true);
    t.start();
    return t;
  }

  private static String head(InputStream in) throws IOException {
    StringBuilder s = new StringBuilder();
    while (s.length() < 4 || !s.substring(s.length() - 4).equals("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      s.append((char) b);
    }
    return s.toString();
  }

  private static long length(String head) {
    for (String l : head.split("\r\n")) {
      if (l.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        return Long.parseLong(l.substring(15).trim());
      }
    }
    return 0;
  }

  private static boolean take(InputStream in, long n) throws IOException {
    byte[] block = new byte[BLOCK];
    long left = n;
    while (left > 0) {
      int got = in.read(block, 0, (int) Math.min(block.length, left));
      if (got < 0) {
        return false;
      }
      left -= got;
    }
    return true;
  }

  private static void give(OutputStream out, long n) throws IOException {
    byte[] block = new byte[BLOCK];
    for (long left = n; left > 0; left -= Math.min(block.length, left)) {
      out.write(block, 0, (int) Math.min(block.length, left));
    }
  }

  private static void serve(Socket s) throws IOException {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      String head;
      while ((head = head(in)) != null) {
        take(in, length(head));
        long n =
            head.startsWith("GET /") ? Long.parseLong(head.substring(5, head.indexOf(' ', 5))) : 0;
        s.getOutputStream().write(text("HTTP/1.1 200 OK\r\nContent-Length: " + n + "\r\n\r\n"));
        give(s.getOutputStream(), n);
      }
    }
  }

  private static byte[] text(String s) {
    return s.getBytes(StandardCharsets.US_ASCII);
  }

  private static boolean send(int port, long n, int id) throws IOException {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
      s.getOutputStream()
          .write(
              text(
                  "POST /up HTTP/1.1\r\nHost: a\r\nX-Request-ID: u"
                      + id
                      + "\r\nContent-Length: "
                      + n
                      + "\r\n\r\n"));
      give(s.getOutputStream(), n);
      String head = head(s.getInputStream());
      return head != null && head.startsWith("HTTP/1.1 200");
    }
  }

  private static boolean fetch(int port, long n, int id) throws IOException {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
      s.getOutputStream()
          .write(text("GET /" + n + " HTTP/1.1\r\nHost: a\r\nX-Request-ID: d" + id + "\r\n\r\n"));
      InputStream in = new BufferedInputStream(s.getInputStream());
      String head = head(in);
      return head != null && length(head) == n && take(in, n);
    }
  }
}
