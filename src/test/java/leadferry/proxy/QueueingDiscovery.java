package leadferry.proxy;

import static leadferry.proxy.ProxyFixture.write;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Discovery server that works through its calls one at a time, in the order of their arrival, and
 * can fail in several ways. A call that its client gave up costs as much work as any other.
 */
final class QueueingDiscovery implements AutoCloseable {
  /** What happens to a call that arrives. */
  enum Mode {
    /** It is answered in its turn, and its watch stays open. */
    ANSWER,
    /** It is answered 503 at once. */
    REJECT,
    /** Its connection is reset at once. */
    RESET,
    /** It is never answered, also after the mode has changed. */
    HOLD,
    /** Its answer begins with a part of a list, which never ends. */
    STALL
  }

  private static final long CHANGE_POLL_NANOS = 20_000_000L;
  private static final long KEEP_ALIVE_NANOS = 1_500_000_000L;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Times ({@link System#nanoTime}) at which calls were read. */
  final List<Long> callNanos = new CopyOnWriteArrayList<>();

  private final ServerSocket listener;
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private final ReentrantLock turn = new ReentrantLock(true);
  private volatile Mode mode = Mode.ANSWER;
  private volatile long answerDelayNanos;
  private volatile long workNanos;
  private volatile String change;
  private volatile long silentFromNanos = Long.MAX_VALUE;

  /** Creates a server whose answers consist of {@code change}. */
  QueueingDiscovery(String change) throws IOException {
    this.change = change;
    listener = new ServerSocket(0, 1_000, InetAddress.getLoopbackAddress());
    inBackground(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            accepted.add(socket);
            inBackground(() -> serve(socket));
          }
        });
  }

  /** Returns a full list of one host, in the form of the protocol. */
  static String list(long version, String id) {
    return "{\"version\":"
        + version
        + ",\"full\":true,\"servers\":[{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:1\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":1,\"state\":\"up\","
        + "\"weight\":1.0,\"started_ms\":0}]}";
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void setMode(Mode next) {
    mode = next;
  }

  /** Sets the time that the server works on one call while all others wait. */
  void setWorkMillis(long millis) {
    workNanos = millis * 1_000_000;
  }

  /** Sets a time by which each answer comes later, without work. */
  void setAnswerDelayMillis(long millis) {
    answerDelayNanos = millis * 1_000_000;
  }

  /** Sets what further answers consist of, and what is sent on the watches that are not silent. */
  void setChange(String next) {
    change = next;
  }

  /** Stops all output on the watches that are open. */
  void silenceWatches() {
    silentFromNanos = System.nanoTime();
  }

  /** Resets all connections. */
  void resetConnections() {
    for (Socket socket : accepted) {
      accepted.remove(socket);
      reset(socket);
    }
  }

  /** Returns the number of connections whose client has not closed them. */
  int openConnections() {
    return (int) accepted.stream().filter(socket -> !socket.isClosed()).count();
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      serveCalls(socket);
    }
  }

  private void serveCalls(Socket socket) throws IOException {
    while (ProxyFixture.readMessage(socket.getInputStream()) != null) {
      callNanos.add(System.nanoTime());
      switch (mode) {
        case ANSWER -> answer(socket);
        case REJECT ->
            write(socket, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        case RESET -> reset(socket);
        case HOLD -> {}
        case STALL -> write(socket, HEAD + chunk("{\n  \"version\": 99,\n"));
      }
    }
  }

  private void answer(Socket socket) throws IOException {
    turn.lock();
    try {
      LockSupport.parkNanos(workNanos);
    } finally {
      turn.unlock();
    }
    LockSupport.parkNanos(answerDelayNanos);
    long answeredNanos = System.nanoTime();
    String told = change;
    write(socket, HEAD + chunk(told + "\n"));
    long lastWriteNanos = System.nanoTime();
    while (answeredNanos > silentFromNanos || silentFromNanos == Long.MAX_VALUE) {
      LockSupport.parkNanos(CHANGE_POLL_NANOS);
      boolean changed = !change.equals(told);
      if (changed || System.nanoTime() - lastWriteNanos > KEEP_ALIVE_NANOS) {
        told = change;
        write(socket, chunk(changed ? told + "\n" : "\n"));
        lastWriteNanos = System.nanoTime();
      }
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // its client has closed it
    }
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void inBackground(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // the connection or the server has ended
              }
            },
            "queueing-discovery");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException e) {
      // accepts no more calls in any case
    }
    resetConnections();
  }
}
