import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.net.Socket;
import java.util.Arrays;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * 1,250 clients connect, send half a head and stay; each connects again as soon as its connection
 * ends. Usual clients send each request on a new connection. The machine accepts every connection:
 * its queue never overflows.
 */
public final class HalfHeads {
  private static final int HOSTS = 8;
  private static final int CROWD = 1_250;
  private static final double REQUESTS_PER_SECOND = 60;
  private static final double CROWD_MILLIS = 15_000;

  /** Up to half a second after its time an answer only earns nothing; each limit is 50 ms longer. */
  private static final double GRACE_MILLIS = 500 + 50;

  private static final double UNSAFE_MILLIS = 800;
  private static final double KEYED_MILLIS = 1_200;

  private record Ended(String id, double time, double waited, int status) {}

  public static void main(String[] args) {
    Kit.main(args, HalfHeads::run);
  }

  /** Keeps connections open on which half a head was sent; one thread. */
  private static void crowd(int port, double until, AtomicInteger connected) {
    byte[] half = Kit.bytes("POST /visit-claim HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: ");
    try (Selector selector = Selector.open()) {
      int open = 0;
      ByteBuffer buffer = ByteBuffer.allocate(1024);
      while (Kit.now() < until) {
        for (int i = 0; i < 50 && open < CROWD; i++) {
          SocketChannel channel = SocketChannel.open();
          channel.configureBlocking(false);
          channel.connect(new InetSocketAddress("127.0.0.1", port));
          channel.register(selector, SelectionKey.OP_CONNECT);
          open++;
        }
        selector.select(5);
        var keys = selector.selectedKeys().iterator();
        while (keys.hasNext()) {
          SelectionKey key = keys.next();
          keys.remove();
          SocketChannel channel = (SocketChannel) key.channel();
          try {
            if (key.isConnectable()) {
              channel.finishConnect();
              channel.write(ByteBuffer.wrap(half));
              connected.incrementAndGet();
              key.interestOps(SelectionKey.OP_READ);
            } else if (channel.read(buffer.clear()) < 0) {
              throw new IOException("ended");
            }
          } catch (IOException e) {
            channel.close();
            open--;
          }
        }
      }
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
    } catch (IOException e) {
      Kit.record("crowd: " + e);
    }
  }

  private static Ended ask(Kit.Proxy proxy, int number) {
    boolean keyed = number % 3 == 2;
    String name = keyed ? "visit-log" : "visit-claim";
    String id = "q" + number;
    double time = keyed ? KEYED_MILLIS : UNSAFE_MILLIS;
    byte[] request =
        Kit.bytes(
            "POST /" + name + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + name + "\r\nX-Timeout-Ms: " + (int) time + "\r\n"
                + (keyed ? "Idempotency-Key: k" + id + "\r\n" : "")
                + "Content-Length: 5\r\n\r\nhello");
    double sentAt = Kit.now();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", proxy.port), 10_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(15_000);
      sentAt = Kit.now();
      socket.getOutputStream().write(request);
      Kit.Message answer = Kit.read(new BufferedInputStream(socket.getInputStream()));
      int status = answer == null ? 0 : Integer.parseInt(answer.first().split(" ")[1]);
      return new Ended(id, time, Kit.now() - sentAt, status);
    } catch (IOException e) {
      return new Ended(id, time, Kit.now() - sentAt, -1);
    }
  }

  /** Returns how many connections the machine has not accepted since it was started. */
  private static long overflows() throws IOException {
    String[] names = null;
    for (String line : Files.readAllLines(Path.of("/proc/net/netstat"))) {
      String[] words = line.split(" ");
      if (words[0].equals("TcpExt:") && names == null) {
        names = words;
      } else if (words[0].equals("TcpExt:")) {
        return Long.parseLong(words[Arrays.asList(names).indexOf("ListenOverflows")]);
      }
    }
    throw new Kit.CannotRun("no count of overflows");
  }

  private static boolean run(boolean trouble) throws Exception {
    Queue<Kit.Arrival> arrivals = new ConcurrentLinkedQueue<>();
    Kit.Discovery discovery = new Kit.Discovery();
    for (int i = 0; i < HOSTS; i++) {
      discovery.put(new Kit.Host("s-" + i, i / 4, 50, arrivals), "up");
    }
    Kit.Proxy proxy =
        Kit.start(
            "n0",
            discovery.address(),
            discovery.list(-1),
            Kit.settings("automatic", 0, 1),
            "{\"cores\":1.0,\"memory_mb\":96,\"sockets\":512}");
    proxy.awaitReady();
    Kit.sleep(1_000);
    Queue<Ended> ended = new ConcurrentLinkedQueue<>();
    AtomicInteger connected = new AtomicInteger();
    AtomicInteger open = new AtomicInteger();
    long overflowsBefore = overflows();
    double from = Kit.now();
    double until = from + 3_000 + CROWD_MILLIS;
    if (trouble) {
      Kit.daemon(
          () -> {
            Kit.sleep(3_000);
            crowd(proxy.port, until, connected);
          });
    }
    double next = Kit.now();
    for (int i = 0; Kit.now() < until; i++) {
      int number = i;
      open.incrementAndGet();
      Kit.daemon(
          () -> {
            ended.add(ask(proxy, number));
            open.decrementAndGet();
          });
      next += 1000 / REQUESTS_PER_SECOND;
      Kit.sleep(next - Kit.now());
    }
    for (int i = 0; i < 200 && open.get() > 0; i++) {
      Kit.sleep(100);
    }
    int late = 0;
    int unanswered = 0;
    double latest = 0;
    Map<Integer, Integer> statuses = new TreeMap<>();
    for (Ended one : ended) {
      statuses.merge(one.status(), 1, Integer::sum);
      boolean broken = one.status() > 0 && one.waited() > one.time() + GRACE_MILLIS;
      late += broken ? 1 : 0;
      unanswered += one.status() <= 0 ? 1 : 0;
      latest = Math.max(latest, one.status() > 0 ? one.waited() - one.time() : 0);
      Kit.record(one.id() + " status " + one.status() + " after " + Math.round(one.waited())
          + " ms of " + Math.round(one.time()) + (broken ? ": BROKEN" : ""));
    }
    Kit.say("usual requests " + ended.size() + " by status " + statuses + ", connections of the crowd "
        + connected + ", answered more than " + Math.round(GRACE_MILLIS) + " ms after their time "
        + late + ", the latest " + Math.round(latest) + " ms after it; without an answer "
        + unanswered);
    long overflows = overflows() - overflowsBefore;
    Kit.say("connections that the machine did not accept " + overflows);
    if (overflows > 0) {
      throw new Kit.CannotRun("the machine's queue overflowed");
    }
    if (ended.size() < 300) {
      throw new Kit.CannotRun("too few requests");
    }
    return late == 0;
  }
}
