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
    HOLD
  }

  private static final long KEEP_ALIVE_NANOS = 1_500_000_000L;

  /** Times ({@link System#nanoTime}) at which calls were read. */
  final List<Long> callNanos = new CopyOnWriteArrayList<>();

  private final ServerSocket listener;
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private final ReentrantLock turn = new ReentrantLock(true);
  private volatile Mode mode = Mode.ANSWER;
  private volatile long answerDelayNanos;
  private volatile long workNanos;
  private volatile String change;
  private volatile boolean silent;

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

  int port() {
    return listener.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
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

  /** Sets what further answers consist of. Watches that are open are not told. */
  void setChange(String next) {
    change = next;
  }

  /** Stops all output on the watches that are open. */
  void silenceWatches() {
    silent = true;
  }

  /** Resets all connections. */
  void resetConnections() throws IOException {
    for (Socket socket : accepted) {
      accepted.remove(socket);
      reset(socket);
    }
  }

  private void serve(Socket socket) throws IOException {
    while (ProxyFixture.readMessage(socket.getInputStream()) != null) {
      callNanos.add(System.nanoTime());
      switch (mode) {
        case ANSWER -> answer(socket);
        case REJECT ->
            write(socket, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        case RESET -> reset(socket);
        case HOLD -> {}
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
    silent = false;
    String body = change + "\n";
    String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    write(socket, head + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n");
    LockSupport.parkNanos(KEEP_ALIVE_NANOS);
    while (!silent) {
      write(socket, "1\r\n\n\r\n");
      LockSupport.parkNanos(KEEP_ALIVE_NANOS);
    }
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
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
  public void close() throws IOException {
    listener.close();
    resetConnections();
  }
}
