package leadferry.engine;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles operating system signals. {@code sun.misc.Signal} is the JDK's only access to them. A
 * direct reference to that class gives a compiler warning that can't be suppressed. This class uses
 * reflection instead, so that the build can treat all warnings as errors.
 */
public final class Signals {
  private Signals() {}

  /**
   * Runs {@code action} on a JVM thread whenever SIGHUP is received. Guards against the default
   * action, which ends the JVM. Returns false where the operating system has no SIGHUP, or where
   * the parent process, for example {@code nohup}, set the signal to be ignored. In the latter case
   * the JVM accepts the handler without an error but keeps ignoring the signal; only the previous
   * handler that the JVM returns reveals this.
   */
  public static boolean onHangup(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler call =
          (self, method, args) ->
              switch (method.getName()) {
                case "handle" -> {
                  action.run();
                  yield null;
                }
                case "equals" -> self == args[0];
                case "hashCode" -> System.identityHashCode(self);
                default -> "reload on SIGHUP";
              };
      Object previousHandler =
          signal
              .getMethod("handle", signal, handler)
              .invoke(
                  null,
                  signal.getConstructor(String.class).newInstance("HUP"),
                  Proxy.newProxyInstance(
                      Signals.class.getClassLoader(), new Class<?>[] {handler}, call));
      return previousHandler != handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      return false;
    }
  }
}
