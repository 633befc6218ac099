import java.io.BufferedInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Stand-in for a roster server: keep-alive HTTP/1.1, one request at a time on a connection, as the protocol page says. */
final class Host implements AutoCloseable {
  /** What the server does with a request; returns the whole answer, or null to say nothing. */
  interface Work {
    String answer(Host host, Http.Message request) throws Exception;
  }

  static final String FAILED = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
  static final String TURNED_AWAY = "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

  final String id;
  final int cell;
  volatile String state = "up";
  volatile long startedMs;

  /** Length of the queue of connections that the system holds for the server. */
  private static final int BACKLOG = 16;

  /** While set, the machine says nothing: open connections stay open and silent, new ones never come up. */
  private volatile boolean silent;

  private final List<Socket> fillers = new ArrayList<>();
  private final Lab lab;
  private final Work work;
  private final ServerSocket listener;

  Host(Lab lab, String id, int cell, Work work) throws IOException {
    this.lab = lab;
    this.id = id;
    this.cell = cell;
    this.work = work;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    lab.threads.execute(this::accept);
  }

  static String served(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  String json() {
    return String.format(
        "{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"fukuoka-dc\",\"kind\":\"fast-3core\",\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}",
        id, listener.getLocalPort(), cell, state, startedMs);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        awaitEndOfSilence();
        socket.setTcpNoDelay(true);
        lab.threads.execute(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(new Hanging(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      Http.Message request;
      while ((request = Http.read(in)) != null) {
        String answer = work.answer(this, request);
        awaitEndOfSilence();
        if (answer != null) {
          out.write(Lab.bytes(answer));
          out.flush();
        }
      }
    } catch (Exception e) {
      // the client proxy closed the connection
    }
  }

  /** Lets the machine vanish: nothing is read or written any more, and the queue of new connections is filled up. */
  void vanish() {
    silent = true;
    try {
      for (int i = 0; i < 4 * BACKLOG; i++) {
        Socket filler = new Socket();
        filler.connect(listener.getLocalSocketAddress(), 30);
        fillers.add(filler);
      }
      throw new Lab.CannotRun("the queue of new connections can't be filled");
    } catch (IOException e) {
      // full: the system answers no further connection
    }
  }

  /** Lets the machine come back. */
  void comeBack() throws IOException {
    for (Socket filler : fillers) {
      filler.close();
    }
    fillers.clear();
    silent = false;
  }

  private void awaitEndOfSilence() {
    while (silent) {
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private final class Hanging extends FilterInputStream {
    Hanging(InputStream in) {
      super(in);
    }

    @Override
    public int read(byte[] into, int offset, int length) throws IOException {
      awaitEndOfSilence();
      int count = super.read(into, offset, Math.min(length, 16_384));
      awaitEndOfSilence();
      return count;
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
