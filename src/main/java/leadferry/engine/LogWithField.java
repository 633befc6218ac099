package leadferry.engine;

/** A log with one more field, which stands before the others. */
record LogWithField(Log log, String field, String value) implements Log {
  private Object[] all(Object[] fields) {
    Object[] out = new Object[fields.length + 2];
    out[0] = field;
    out[1] = value;
    System.arraycopy(fields, 0, out, 2, fields.length);
    return out;
  }

  @Override
  public void event(String what, Object... fields) {
    log.event(what, all(fields));
  }

  @Override
  public void detail(String what, Object... fields) {
    log.detail(what, all(fields));
  }

  @Override
  public boolean isDetailEnabled() {
    return log.isDetailEnabled();
  }

  @Override
  public void failure(String what, Throwable t) {
    log.failure(what, t);
  }
}
