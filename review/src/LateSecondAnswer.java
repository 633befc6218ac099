import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some servers answer twice, the second time some milliseconds later, if nothing waits on the connection by then. No client may
 * get the answer to another request.
 */
final class LateSecondAnswer {
  private static final int PROXIES = 40;
  private static final int SIDE_BY_SIDE = 5;
  private static final int SECONDS = 5;
  private static final int CLIENTS = 40;
  private static final int RATE = 250;

  /** One way between two zones: 1.4 to 2.6 ms. */
  private static final double LINK_MILLIS = 2.2;

  private static final int SECOND_PERCENT = 3;

  private final Lab lab;
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger other = new AtomicInteger();
  private final AtomicInteger seconds = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();

  private LateSecondAnswer(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) {
    Lab.main(arguments[0], lab -> new LateSecondAnswer(lab).run());
  }

  private boolean run() throws Exception {
    List<Future<?>> lanes = new ArrayList<>();
    for (int lane = 0; lane < SIDE_BY_SIDE; lane++) {
      int first = lane;
      lanes.add(
          lab.threads.submit(
              () -> {
                for (int number = first; number < PROXIES; number += SIDE_BY_SIDE) {
                  day(number);
                }
                return null;
              }));
    }
    for (Future<?> lane : lanes) {
      lane.get();
    }
    lab.say(
        "%d client proxies: %d requests served with their own answer, %d others, %d second answers, %d requests served with ANOTHER'S answer",
        PROXIES, served.get(), other.get(), seconds.get(), foreign.get());
    return foreign.get() == 0;
  }

  /** One client proxy with two of five servers in its zone, which drain as they are replaced, and three in the other zone. */
  private void day(int number) throws Exception {
    StringBuilder servers = new StringBuilder();
    for (int i = 0; i < 5; i++) {
      boolean isNear = i < 2;
      ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
      lab.threads.execute(() -> accept(server));
      Relay link = new Relay(lab, server.getLocalPort(), LINK_MILLIS);
      servers.append(i == 0 ? "" : ",").append(
          String.format(
              "{\"id\":\"s-%d-%d\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"kind\":\"fast-3core\",\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":0}",
              number, i, link.port(), isNear ? "bole-hall" : "kality-hall", isNear ? 1 : 2, isNear ? "draining" : "up"));
    }
    Discovery discovery = new Discovery(lab);
    discovery.list = "{\"version\":41,\"full\":true,\"servers\":[" + servers + "]}";
    Settings settings = new Settings();
    settings.claim = Settings.requestClass("station-page", "idempotent", "all", 1000, 0, 5);
    settings.log = Settings.requestClass("tally-submit", "at_most_once", "all", 4000, 0, 5);
    settings.zone = "bole-hall";
    settings.zones = "\"bole-hall\",\"kality-hall\"";
    Lab.Proxy proxy = lab.proxy("n" + number);
    proxy.writeConfig(settings.config(proxy, discovery));
    proxy.start();
    double end = lab.now() + 1_000 * SECONDS;
    List<Future<?>> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      clients.add(lab.threads.submit(() -> client(proxy.port, number, client, end)));
    }
    for (Future<?> client : clients) {
      client.get();
    }
    if (!proxy.process.isAlive()) {
      lab.record("proxy %d ENDED by itself with %d: %s", number, proxy.process.exitValue(), proxy.log());
    }
    proxy.signal("KILL");
    discovery.close();
  }

  private void accept(ServerSocket server) {
    while (true) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        lab.threads.execute(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      Http.Message request;
      while ((request = Http.read(in)) != null) {
        Thread.sleep(ThreadLocalRandom.current().nextInt(48, 87));
        byte[] answer = Lab.bytes(Host.served(request.header("X-Request-ID")));
        out.write(answer);
        long answeredNanos = System.nanoTime();
        if (!Lab.trouble() || ThreadLocalRandom.current().nextInt(100) >= SECOND_PERCENT) {
          continue;
        }
        long lateNanos = ThreadLocalRandom.current().nextLong(3_000_000, 12_000_000);
        while (in.available() == 0 && System.nanoTime() - answeredNanos < lateNanos) {
          Thread.sleep(0, 100_000);
        }
        if (in.available() == 0) {
          out.write(answer);
          seconds.incrementAndGet();
          lab.record("second answer for %s, %.1f ms after the first", request.header("X-Request-ID"), (System.nanoTime() - answeredNanos) / 1e6);
        }
      }
    } catch (IOException | InterruptedException e) {
      // the client proxy closed the connection
    }
  }

  private void client(int port, int proxy, int number, double end) {
    int count = 0;
    double period = 1e3 * CLIENTS / RATE;
    double next = lab.now() + ThreadLocalRandom.current().nextDouble(period);
    while (lab.now() < end) {
      try (Socket socket = Lab.connect(port)) {
        socket.setSoTimeout(5_000);
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        while (lab.now() < end) {
          Thread.sleep((long) Math.max(0, next - lab.now()));
          next = Math.max(next + ThreadLocalRandom.current().nextDouble(2 * period), lab.now());
          String id = String.format("%04x%06x%06x", proxy, number, count++);
          boolean isPage = ThreadLocalRandom.current().nextInt(10) > 0;
          socket.getOutputStream().write(
              Lab.bytes(
                  (isPage ? "GET /station-page" : "POST /tally-submit") + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
                      + "\r\nX-Timeout-Ms: " + (isPage ? 1000 : 4000) + (isPage ? "" : "\r\nContent-Length: 0") + "\r\n\r\n"));
          Http.Message answer = Http.read(in);
          if (answer == null) {
            break;
          }
          String body = new String(answer.body(), StandardCharsets.ISO_8859_1);
          if (answer.status() != 200 || body.length() != id.length()) {
            other.incrementAndGet();
          } else if (body.equals(id)) {
            served.incrementAndGet();
          } else {
            foreign.incrementAndGet();
            lab.record("client asked %s (%s) and got the answer to %s: ANOTHER'S", id, isPage ? "station-page" : "tally-submit", body);
          }
        }
      } catch (IOException e) {
        other.incrementAndGet();
        lab.record("client %d of proxy %d: %s", number, proxy, e);
        Lab.pause(20);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
