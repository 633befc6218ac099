package leadferry.daemon;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.lang.reflect.RecordComponent;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Writes the values of a configuration, one per line, in the declaration order of its records.
 *
 * <p>The text holds no name of a class, component or constant, so that these can be renamed:
 * constants appear by ordinal, numbers without their type.
 */
final class ValueDump {
  private final List<String> lines = new ArrayList<>();

  private ValueDump() {}

  static String of(Object value) {
    ValueDump dump = new ValueDump();
    dump.add("", value);
    return String.join("\n", dump.lines) + "\n";
  }

  private void add(String label, Object value) {
    if (value instanceof Map<?, ?> map) {
      lines.add(label + "entries " + map.size());
      Map<String, Object> sorted = new TreeMap<>();
      map.forEach((key, entry) -> sorted.put(key.toString(), entry));
      sorted.forEach((key, entry) -> add(label + "  " + key + ": ", entry));
    } else if (value instanceof Set<?> set) {
      lines.add(label + "members " + set.stream().map(Object::toString).sorted().toList());
    } else if (value instanceof Collection<?> items) {
      lines.add(label + "items " + items.size());
      items.forEach(item -> add(label + "  ", item));
    } else if (isLeaf(value)) {
      lines.add(label + leaf(value));
    } else {
      addParts(label, value);
    }
  }

  private static boolean isLeaf(Object value) {
    return value == null
        || value instanceof Enum<?>
        || !value.getClass().getPackageName().startsWith(ownPackage());
  }

  private static String ownPackage() {
    String name = ValueDump.class.getPackageName();
    return name.substring(0, name.indexOf('.'));
  }

  private static String leaf(Object value) {
    if (value instanceof Enum<?> constant) {
      return "constant " + constant.ordinal();
    }
    if (value instanceof Duration duration) {
      return leaf(duration.toMillis());
    }
    if (value instanceof Number number) {
      return new BigDecimal(number.toString()).stripTrailingZeros().toPlainString();
    }
    if (value instanceof byte[] bytes) {
      return "bytes " + HexFormat.of().formatHex(bytes);
    }
    if (value instanceof InetSocketAddress address) {
      return address.getAddress().getHostAddress() + " port " + address.getPort();
    }
    if (value instanceof String || value instanceof Path) {
      return "'" + value + "'";
    }
    return String.valueOf(value);
  }

  private void addParts(String label, Object value) {
    try {
      if (value instanceof Record) {
        for (RecordComponent component : value.getClass().getRecordComponents()) {
          component.getAccessor().setAccessible(true);
          add(label, component.getAccessor().invoke(value));
        }
      } else {
        for (Field field : value.getClass().getDeclaredFields()) {
          if (!Modifier.isStatic(field.getModifiers())) {
            field.setAccessible(true);
            add(label, field.get(value));
          }
        }
      }
    } catch (ReflectiveOperationException e) {
      throw new AssertionError(value.getClass().getName(), e);
    }
  }
}
