package leadferry.engine;

/** Adds one field, ahead of the others, to every entry of a log. */
record LogWithField(Log log, String field, String value) implements Log {
  private Object[] prependField(Object[] fields) {
    Object[] allFields = new Object[fields.length + 2];
    allFields[0] = field;
    allFields[1] = value;
    System.arraycopy(fields, 0, allFields, 2, fields.length);
    return allFields;
  }

  @Override
  public void event(String message, Object... fields) {
    log.event(message, prependField(fields));
  }

  @Override
  public void detail(String message, Object... fields) {
    log.detail(message, prependField(fields));
  }

  @Override
  public boolean isDetailEnabled() {
    return log.isDetailEnabled();
  }

  @Override
  public void failure(String message, Throwable cause) {
    log.failure(message, cause);
  }
}
