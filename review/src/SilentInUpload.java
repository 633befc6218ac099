import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** The machine of one server of six vanishes, and requests with long bodies follow. Each still has to get its final answer. */
final class SilentInUpload {
  private static final int HOSTS = 6;
  private static final int ROUNDS = 6;
  private static final int CLIENTS = 12;

  /** Lengths of the bodies in turn; up to 32 MB occur. */
  private static final int[] BODIES = {3_600_000, 4_000_000, 4_000_000, 4_400_000};

  private static final int TIMEOUT = 800;

  /** For 6 s, a fifth of the hosts fall silent. */
  private static final long SILENT_MILLIS = 6_000;

  /** Half a second of STANDING.md, and the 50 ms by which each time limit is longer. */
  private static final double SLACK_MILLIS = 500 + 50;

  private final Lab lab;
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger notTaken = new AtomicInteger();

  private SilentInUpload(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) {
    Lab.main(arguments[0], lab -> new SilentInUpload(lab).run());
  }

  private boolean run() throws Exception {
    Discovery discovery = new Discovery(lab);
    for (int i = 0; i < HOSTS; i++) {
      discovery.hosts.add(
          new Host(
              lab,
              "s-" + i,
              3,
              (host, request) -> {
                lab.record("host %s runs %s with %d bytes", host.id, request.header("X-Request-ID"), request.body().length);
                Thread.sleep(ThreadLocalRandom.current().nextInt(94, 170));
                return Host.served(request.header("X-Request-ID"));
              }));
    }
    Settings settings = new Settings();
    for (int round = 0; round < ROUNDS; round++) {
      // A client proxy of its own for each round, so that each sees one server vanish once.
      Lab.Proxy proxy = lab.proxy("n" + round);
      proxy.writeConfig(settings.config(proxy, discovery));
      proxy.start();
      // Opens several connections to each server.
      List<Future<?>> shortClaims = new ArrayList<>();
      for (int i = 0; i < 24; i++) {
        String id = String.format("%08x%08x", round, 1_000 + i);
        shortClaims.add(lab.threads.submit(() -> claim(proxy.port, id, 1_000, 0)));
        Thread.sleep(5);
      }
      for (Future<?> client : shortClaims) {
        client.get();
      }
      Host host = discovery.hosts.get(round);
      if (Lab.trouble()) {
        host.vanish();
        lab.record("the machine of host %s has vanished", host.id);
      }
      List<Future<?>> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        String id = String.format("%08x%08x", round, i);
        int length = BODIES[i % BODIES.length];
        clients.add(lab.threads.submit(() -> claim(proxy.port, id, length, TIMEOUT + SLACK_MILLIS)));
        Thread.sleep(20);
      }
      Thread.sleep(SILENT_MILLIS - 20L * CLIENTS);
      host.comeBack();
      lab.record("the machine of host %s is back", host.id);
      for (Future<?> client : clients) {
        client.get();
      }
      proxy.signal("KILL");
    }
    lab.say(
        "%d claims with 3.6 to 4.4 MB, of which %d were answered in time, %d LOST, %d not wholly taken by the proxy's machine and not judged",
        ROUNDS * CLIENTS, answered.get(), lost.get(), notTaken.get());
    return lost.get() == 0;
  }

  /** Writes a claim and reads its answer. Judges it if {@code boundMillis} is above 0. */
  private void claim(int port, String id, int length, double boundMillis) {
    double[] takenAt = {Double.NaN};
    String end;
    try (Socket socket = Lab.connect(port)) {
      socket.setSoTimeout(30_000);
      socket.getOutputStream().write(
          Lab.bytes("POST /visit-claim HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
              + "\r\nX-Priority-Class: visit-claim\r\nX-Timeout-Ms: " + TIMEOUT + "\r\nContent-Length: " + length + "\r\n\r\n"));
      Future<?> writer = lab.threads.submit(() -> write(socket, length, takenAt));
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
      end = answer == null ? "a close" : Integer.toString(answer.status());
      writer.get();
    } catch (Exception e) {
      end = e.toString();
    }
    double waited = lab.now() - takenAt[0];
    if (boundMillis == 0) {
      return;
    }
    lab.record("client %s got %s %.0f ms after the proxy's machine had its last byte", id, end, waited);
    if (Double.isNaN(takenAt[0])) {
      notTaken.incrementAndGet();
    } else if (waited > boundMillis || end.length() > 3) {
      lost.incrementAndGet();
      lab.record("client %s LOST: its time was %d ms", id, TIMEOUT);
    } else {
      answered.incrementAndGet();
    }
  }

  /** Writes the body, and notes when the proxy's machine has acknowledged its last byte. */
  private void write(Socket socket, int length, double[] takenAt) {
    try {
      socket.getOutputStream().write(new byte[length]);
      for (int i = 0; i < 40 && length >= BODIES[0]; i++) {
        double now = lab.now();
        if (lab.isAcknowledged(socket.getLocalPort())) {
          takenAt[0] = now;
          return;
        }
        Thread.sleep(10);
      }
    } catch (IOException | InterruptedException e) {
      // the answer or the close came first
    }
  }
}
