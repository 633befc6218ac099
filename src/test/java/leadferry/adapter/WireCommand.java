package leadferry.adapter;

/** A command written by the adapter: a name and name=value fields. */
record WireCommand(String line) {
  String name() {
    return line.substring(0, line.indexOf(' '));
  }

  /** Returns the value of the field, or an empty string. */
  String field(String key) {
    for (String part : line.split(" ")) {
      if (part.startsWith(key + "=")) {
        return part.substring(key.length() + 1);
      }
    }
    return "";
  }

  long number(String key) {
    return Long.parseLong(field(key));
  }
}
