import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * New settings with SIGHUP give a class another effect (unsafe to keyed) while unsafe requests of the old form are being
 * written. None of them may run twice.
 */
final class ReloadInBody {
  private static final int ROUNDS = 4;
  private static final int CLIENTS = 48;
  private static final int BODY = 48_000;
  private static final int PIECES = 6;

  /** A client writes 8,000 bytes every 0.125 s: 64 kB a second, the slowest that the pages name. */
  private static final long PIECE_MILLIS = 125;

  private static final long HANGUP_AFTER_MILLIS = 350;

  private final Lab lab;
  private final Map<String, ConcurrentLinkedQueue<String>> runs = new ConcurrentHashMap<>();
  private final AtomicInteger ids = new AtomicInteger();

  private ReloadInBody(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) {
    Lab.main(arguments[0], lab -> new ReloadInBody(lab).run());
  }

  private String work(Host host, Http.Message request, boolean failing) throws InterruptedException {
    String id = request.header("X-Request-ID");
    // The request runs now, as soon as its last byte has come.
    runs.computeIfAbsent(id, any -> new ConcurrentLinkedQueue<>()).add(host.id);
    lab.record("host %s runs %s (%s, key %s)", host.id, id, request.path(), request.header("Idempotency-Key"));
    Thread.sleep(ThreadLocalRandom.current().nextInt(94, 170));
    return failing ? Host.FAILED : Host.served(id);
  }

  private boolean run() throws Exception {
    Discovery discovery = new Discovery(lab);
    for (int i = 0; i < 6; i++) {
      boolean failing = i == 0; // one of six (at most 19%) fails fast (31 to 99% of what it gets)
      discovery.hosts.add(
          new Host(lab, "s-" + i, 3, (host, request) -> work(host, request, failing && ThreadLocalRandom.current().nextInt(100) < 90)));
    }
    Settings before = new Settings();
    Settings after = new Settings();
    after.claim = Settings.requestClass("visit-claim", "deduplicated", "cell", 800, 750, 8);
    boolean held = true;
    for (int round = 0; round < ROUNDS; round++) {
      Lab.Proxy proxy = lab.proxy("n" + round);
      proxy.writeConfig(before.config(proxy, discovery));
      proxy.start();
      Thread.sleep(1_200); // never in its first second
      List<Future<String>> clients = new ArrayList<>();
      List<String> names = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        String id = String.format("%016x", ids.incrementAndGet());
        names.add(id);
        clients.add(lab.threads.submit(() -> claim(proxy.port, id)));
      }
      Thread.sleep(HANGUP_AFTER_MILLIS);
      if (Lab.trouble()) {
        proxy.writeConfig(after.config(proxy, discovery));
        proxy.signal("HUP");
        lab.record("SIGHUP: visit-claim is keyed from 1.2 s after now");
      }
      Map<String, Integer> answers = new TreeMap<>();
      for (Future<String> client : clients) {
        answers.merge(client.get(), 1, Integer::sum);
      }
      Thread.sleep(300);
      int twice = 0;
      for (String id : names) {
        int count = runs.containsKey(id) ? runs.get(id).size() : 0;
        if (count > 1) {
          twice++;
          lab.record("%s RAN %d TIMES, on %s", id, count, runs.get(id));
        }
      }
      boolean reloaded = proxy.log().contains("new settings in force");
      lab.say("round %d: %d claims written at 64 kB/s, answers %s, settings replaced %s, run twice %d", round, CLIENTS, answers, reloaded, twice);
      if (Lab.trouble() != reloaded) {
        throw new Lab.CannotRun("the new settings were not taken: " + proxy.log());
      }
      held &= twice == 0;
      proxy.signal("KILL");
    }
    return held;
  }

  /** One claim, unsafe: POST without a key. Its last byte is written 0.75 s after its first, 0.4 s after the SIGHUP. */
  private String claim(int port, String id) {
    try (Socket socket = Lab.connect(port)) {
      socket.setSoTimeout(3_000);
      OutputStream out = socket.getOutputStream();
      out.write(
          Lab.bytes(
              "POST /visit-claim HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
                  + "\r\nX-Priority-Class: visit-claim\r\nX-Timeout-Ms: 800\r\nContent-Length: " + BODY + "\r\n\r\n"));
      for (int i = 0; i < PIECES; i++) {
        out.write(new byte[BODY / PIECES]);
        Thread.sleep(i < PIECES - 1 ? PIECE_MILLIS : 0);
      }
      lab.record("client wrote the last byte of %s", id);
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
      String status = answer == null ? "closed" : Integer.toString(answer.status());
      lab.record("client got %s for %s", status, id);
      return status;
    } catch (IOException e) {
      return e.toString();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "interrupted";
    }
  }
}
