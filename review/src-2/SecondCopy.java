import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * One answer in twenty is followed, 6 to 10 ms later, by a second copy of itself, unless anything
 * has arrived on the connection by then. Between the client proxy and its hosts the network takes
 * 0.33 ms each way, as the site file has it.
 */
public final class SecondCopy {
  private static final int PROXIES = 54;
  private static final int AT_ONCE = 3;
  private static final int HOSTS = 4;
  private static final double NETWORK_MILLIS = 0.33;
  private static final double MIN_LATE_MILLIS = 6;
  private static final double MAX_LATE_MILLIS = 10;
  private static final int ONE_IN = 20;
  private static final double WORK_MILLIS = 20;
  private static final double REQUESTS_PER_SECOND = 300;

  private static volatile boolean spoil;
  private static final AtomicInteger COPIES = new AtomicInteger();

  public static void main(String[] args) {
    Kit.main(args, SecondCopy::run);
  }

  private static void pause(double millis) {
    long until = System.nanoTime() + (long) (millis * 1e6);
    long left;
    while ((left = until - System.nanoTime()) > 0) {
      LockSupport.parkNanos(left);
    }
  }

  /** A network link: passes bytes on in both directions, each 0.33 ms after it came. */
  private static ServerSocket link(int target) throws IOException {
    ServerSocket listener = Kit.listen();
    Kit.daemon(
        () -> {
          while (true) {
            try {
              Socket near = listener.accept();
              Socket far = new Socket("127.0.0.1", target);
              near.setTcpNoDelay(true);
              far.setTcpNoDelay(true);
              Kit.daemon(() -> pass(near, far));
              Kit.daemon(() -> pass(far, near));
            } catch (IOException e) {
              return;
            }
          }
        });
    return listener;
  }

  private static void pass(Socket from, Socket to) {
    byte[] bytes = new byte[16_384];
    try (from;
        to) {
      int count;
      while ((count = from.getInputStream().read(bytes)) > 0) {
        pause(NETWORK_MILLIS);
        to.getOutputStream().write(bytes, 0, count);
      }
    } catch (IOException e) {
      // one side has closed
    }
  }

  private static ServerSocket host() throws IOException {
    ServerSocket listener = Kit.listen();
    Kit.daemon(
        () -> {
          while (true) {
            try {
              Socket connection = listener.accept();
              connection.setTcpNoDelay(true);
              Kit.daemon(() -> serve(connection));
            } catch (IOException e) {
              return;
            }
          }
        });
    return listener;
  }

  private static void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      Kit.Message request;
      while ((request = Kit.read(in)) != null) {
        String id = request.headers().get("x-request-id");
        pause(WORK_MILLIS);
        byte[] answer =
            Kit.bytes(
                "HTTP/1.1 200 OK\r\nContent-Length: " + (5 + id.length()) + "\r\n\r\ndone " + id);
        out.write(answer);
        if (spoil && ThreadLocalRandom.current().nextInt(ONE_IN) == 0) {
          double late = ThreadLocalRandom.current().nextDouble(MIN_LATE_MILLIS, MAX_LATE_MILLIS);
          double until = Kit.now() + late;
          while (Kit.now() < until && in.available() == 0) {
            pause(Math.min(0.1, until - Kit.now()));
          }
          if (in.available() == 0) {
            out.write(answer);
            COPIES.incrementAndGet();
            Kit.record("host: second copy of the answer to " + id);
          }
        }
      }
    } catch (IOException e) {
      // the client proxy has closed
    }
  }

  private static boolean run(boolean trouble) throws Exception {
    Kit.Discovery discovery = new Kit.Discovery();
    for (int i = 0; i < HOSTS; i++) {
      discovery.put("s-" + i, "127.0.0.1:" + link(host().getLocalPort()).getLocalPort(), 0, "up");
    }
    List<Kit.Proxy> proxies = new ArrayList<>();
    for (int i = 0; i < PROXIES; i++) {
      proxies.add(
          Kit.start(
              "n" + i,
              discovery.address(),
              discovery.list(-1),
              Kit.settings("automatic", i, PROXIES),
              Kit.LIMITS));
    }
    for (Kit.Proxy proxy : proxies) {
      proxy.awaitReady();
    }
    Kit.sleep(1_000);
    int wrong = 0;
    int answered = 0;
    for (int i = 0; i < PROXIES; i += AT_ONCE) {
      spoil = false;
      List<Kit.Application> applications = new ArrayList<>();
      for (Kit.Proxy proxy : proxies.subList(i, i + AT_ONCE)) {
        Kit.Application application = new Kit.Application(proxy);
        application.load(REQUESTS_PER_SECOND);
        applications.add(application);
      }
      Kit.sleep(1_500);
      spoil = trouble;
      Kit.sleep(2_000);
      spoil = false;
      for (Kit.Application application : applications) {
        application.stopped = true;
      }
      Kit.sleep(400);
      for (Kit.Application application : applications) {
        for (Kit.Answer answer : application.answers) {
          answered++;
          if (answer.status() == 200 && !answer.body().equals("done " + answer.id())) {
            wrong++;
            Kit.say(application.proxy.name + " served request " + answer.id() + " with '"
                + answer.body() + "': BROKEN");
          }
        }
      }
    }
    Kit.say("answers " + answered + ", second copies " + COPIES.get()
        + ", requests served with the answer to another request: " + wrong);
    if (answered < 5_000 || (trouble && COPIES.get() == 0)) {
      throw new Kit.CannotRun("too little was answered, or no copy was sent");
    }
    return wrong == 0;
  }
}
