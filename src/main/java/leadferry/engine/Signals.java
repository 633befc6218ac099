package leadferry.engine;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Signals of the platform. {@code sun.misc.Signal} is the JDK's only way to them; naming it in the
 * source is a warning that can't be silenced, so it is reached by reflection and the build stays
 * strict everywhere.
 */
public final class Signals {
  private Signals() {}

  /**
   * Runs {@code what}, on a thread of the JVM's, whenever SIGHUP comes. Guards against the default,
   * by which the JVM ends. False where the platform has no such signal, or where whoever started
   * this process had it ignored, as {@code nohup} does: the JVM then keeps it ignored, takes the
   * handler without a word, and tells so only by what it says was in force before.
   */
  public static boolean onHangup(Runnable what) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler call =
          (self, method, args) ->
              switch (method.getName()) {
                case "handle" -> {
                  what.run();
                  yield null;
                }
                case "equals" -> self == args[0];
                case "hashCode" -> System.identityHashCode(self);
                default -> "reload on SIGHUP";
              };
      Object before =
          signal
              .getMethod("handle", signal, handler)
              .invoke(
                  null,
                  signal.getConstructor(String.class).newInstance("HUP"),
                  Proxy.newProxyInstance(
                      Signals.class.getClassLoader(), new Class<?>[] {handler}, call));
      return before != handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      return false;
    }
  }
}
