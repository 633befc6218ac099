package leadferry.daemon;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import leadferry.engine.Addresses;

/**
 * Collects the names declared in an operator's file, by kind. A section is read after the sections
 * that it may refer to, so that references can be checked.
 */
final class DeclaredNames {
  private static final String NAME = "[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}";

  /** Pattern of a header name: a token of RFC 9110, 5.6.2. */
  static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

  final Set<String> listeners = new LinkedHashSet<>();
  final Set<String> classes = new LinkedHashSet<>();
  final Set<String> pools = new LinkedHashSet<>();
  final Set<String> routes = new LinkedHashSet<>();

  /**
   * Adds a name to the names of its kind. Adds an error instead if the name is malformed or already
   * declared.
   */
  static void declare(TomlSection section, String name, Set<String> declared) {
    if (!name.matches(NAME)) {
      section.addError("", "the name '" + name + "'", "letters, digits, _, - and ., at most 64");
    } else if (!declared.add(name)) {
      section.addError("", "the name '" + name + "' a second time", "a name of its own");
    }
  }

  /** Returns the address at a key, or null after adding an error. */
  static InetSocketAddress readAddress(TomlSection section, String key, boolean allowsPortZero) {
    String text = section.string(key, null, "IP:port");
    InetSocketAddress address = text.isEmpty() ? null : Addresses.parse(text);
    if (!text.isEmpty() && (address == null || (address.getPort() == 0 && !allowsPortZero))) {
      section.addError(key, "'" + text + "'", "IP:port, with a port from 1 to 65535");
      return null;
    }
    return address;
  }
}
