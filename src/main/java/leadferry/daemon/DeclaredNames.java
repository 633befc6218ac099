package leadferry.daemon;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import leadferry.engine.Addresses;

/**
 * What an operator's file names so far, for the checks of one part against another: a part is read
 * after those that it may name.
 */
final class DeclaredNames {
  private static final String NAME = "[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}";

  /** A token of RFC 9110, 5.6.2: the name of a header. */
  static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

  final Set<String> listeners = new LinkedHashSet<>();
  final Set<String> classes = new LinkedHashSet<>();
  final Set<String> pools = new LinkedHashSet<>();
  final Set<String> routes = new LinkedHashSet<>();

  /** Takes a name among its kind, or notes what is wrong with it. */
  static void declare(TomlSection s, String name, Set<String> among) {
    if (!name.matches(NAME)) {
      s.addError("", "the name '" + name + "'", "letters, digits, _, - and ., at most 64");
    } else if (!among.add(name)) {
      s.addError("", "the name '" + name + "' a second time", "a name of its own");
    }
  }

  /** The address that the key holds, or null and a fault. */
  static InetSocketAddress readAddress(TomlSection s, String key, boolean portZero) {
    String text = s.string(key, null, "IP:port");
    InetSocketAddress a = text.isEmpty() ? null : Addresses.parse(text);
    if (!text.isEmpty() && (a == null || (a.getPort() == 0 && !portZero))) {
      s.addError(key, "'" + text + "'", "IP:port, with a port from 1 to 65535");
      return null;
    }
    return a;
  }
}
