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
 * Measures the throughput of long bodies: an upstream host, and clients that upload and download
 * bodies through the proxy in between. Started by {@code bench/daemon stream} with the arguments
 * {@code HOST_PORT TARGET_PORT MIB CLIENTS}; if both ports are the same, the result is the baseline
 * without a proxy.
 */
final class Streams {
  private static final int BLOCK = 64 * 1024;

  private Streams() {}

  /** Prints the throughput of uploads, then that of downloads. */
  public static void main(String[] args) throws Exception {
    int hostPort = Integer.parseInt(args[0]);
    int targetPort = Integer.parseInt(args[1]);
    long bytes = Long.parseLong(args[2]) << 20;
    int clientCount = Integer.parseInt(args[3]);
    ServerSocket host = new ServerSocket(hostPort, 64, InetAddress.getLoopbackAddress());
    startDaemonThread(
        () -> {
          while (true) {
            Socket socket = host.accept();
            startDaemonThread(() -> serve(socket));
          }
        });
    for (boolean isUpload : new boolean[] {true, false}) {
      long startNanos = System.nanoTime();
      List<Thread> clients = new ArrayList<>();
      int[] completed = {0};
      for (int i = 0; i < clientCount; i++) {
        int client = i;
        clients.add(
            startDaemonThread(
                () -> {
                  boolean isComplete =
                      isUpload ? send(targetPort, bytes, client) : fetch(targetPort, bytes, client);
                  synchronized (completed) {
                    completed[0] += isComplete ? 1 : 0;
                  }
                }));
      }
      for (Thread thread : clients) {
        thread.join();
      }
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      System.out.printf(
          Locale.ROOT,
          "%s: %d of %d complete, %.0f MiB/s%n",
          isUpload ? "up" : "down",
          completed[0],
          clientCount,
          clientCount * (bytes >> 20) / seconds);
    }
    System.exit(0);
  }

  private interface Task {
    void run() throws Exception;
  }

  private static Thread startDaemonThread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                System.err.println(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static String readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int next = input.read();
      if (next < 0) {
        return null;
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private static long contentLength(String head) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        return Long.parseLong(line.substring(15).trim());
      }
    }
    return 0;
  }

  private static boolean readBody(InputStream input, long bytes) throws IOException {
    byte[] block = new byte[BLOCK];
    long remaining = bytes;
    while (remaining > 0) {
      int count = input.read(block, 0, (int) Math.min(block.length, remaining));
      if (count < 0) {
        return false;
      }
      remaining -= count;
    }
    return true;
  }

  private static void writeBody(OutputStream out, long bytes) throws IOException {
    byte[] block = new byte[BLOCK];
    for (long remaining = bytes; remaining > 0; remaining -= Math.min(block.length, remaining)) {
      out.write(block, 0, (int) Math.min(block.length, remaining));
    }
  }

  private static void serve(Socket socket) throws IOException {
    try (socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      String head;
      while ((head = readHead(input)) != null) {
        readBody(input, contentLength(head));
        long bytes =
            head.startsWith("GET /") ? Long.parseLong(head.substring(5, head.indexOf(' ', 5))) : 0;
        socket
            .getOutputStream()
            .write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n"));
        writeBody(socket.getOutputStream(), bytes);
      }
    }
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static boolean send(int port, long bytes, int id) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket
          .getOutputStream()
          .write(
              ascii(
                  "POST /up HTTP/1.1\r\nHost: a\r\nX-Request-ID: u"
                      + id
                      + "\r\nContent-Length: "
                      + bytes
                      + "\r\n\r\n"));
      writeBody(socket.getOutputStream(), bytes);
      String head = readHead(socket.getInputStream());
      return head != null && head.startsWith("HTTP/1.1 200");
    }
  }

  private static boolean fetch(int port, long bytes, int id) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket
          .getOutputStream()
          .write(
              ascii("GET /" + bytes + " HTTP/1.1\r\nHost: a\r\nX-Request-ID: d" + id + "\r\n\r\n"));
      InputStream input = new BufferedInputStream(socket.getInputStream());
      String head = readHead(input);
      return head != null && contentLength(head) == bytes && readBody(input, bytes);
    }
  }
}
