package leadferry.daemon;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import leadferry.engine.Log;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes the daemon's log: records with fields, through SLF4J and Logback.
 *
 * <pre>
 *   worker --- budget of this second --- bounded queue --- writer thread --- the stream
 *                 |                        | full
 *                 +--> dropped, counted <--+
 * </pre>
 *
 * <p>Records about requests have a separate budget, so a burst of rejected requests hides no change
 * of state. Records of libraries use the budget of state changes.
 *
 * <p>Guards against blocked workers where the reader of the stream stops reading: workers drop and
 * count records, and only the writer thread waits.
 */
public final class DaemonLog implements Log, AutoCloseable {
  static final String LOGGER = "leadferry";

  /** Records per second, for request records and for all others separately. */
  static final int RECORDS_PER_SECOND = 50;

  /** Capacity of the queue in records: some seconds of both budgets. */
  private static final int QUEUE_CAPACITY = 512;

  private final LoggerContext context;
  private final Logger logger;
  private final AsyncAppender queue = new AsyncAppender();
  private final RecordBudget requests;
  private final RecordBudget events;

  /**
   * Creates a log.
   *
   * @param context Logback context, which is reset first
   * @param out stream to which records are written
   * @param perSecond records per second for each of the two budgets
   */
  DaemonLog(LoggerContext context, LogFormat format, OutputStream out, int perSecond) {
    this.context = context;
    this.requests = new RecordBudget(perSecond);
    this.events = new RecordBudget(perSecond);
    context.reset();
    if (context.getMDCAdapter() == null) {
      // SLF4J sets an adapter only in its default context.
      context.setMDCAdapter(new LogbackMDCAdapter());
    }
    OutputStreamAppender<ILoggingEvent> writer = new OutputStreamAppender<>();
    writer.setContext(context);
    writer.setEncoder(new RecordEncoder(context, format));
    writer.setOutputStream(out);
    writer.start();
    queue.setContext(context);
    queue.setQueueSize(QUEUE_CAPACITY);
    queue.setDiscardingThreshold(0);
    queue.setNeverBlock(true);
    queue.addFilter(new LibraryRecordFilter());
    queue.addAppender(writer);
    queue.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(queue);
    logger = context.getLogger(LOGGER);
    logger.setLevel(Level.INFO);
  }

  /** Returns a log that writes to standard error, with the warnings of libraries. */
  public static DaemonLog onStandardError(LogFormat format) {
    OutputStream unclosable =
        new FilterOutputStream(System.err) {
          @Override
          public void write(byte[] b, int from, int n) throws IOException {
            out.write(b, from, n);
          }

          @Override
          public void close() throws IOException {
            out.flush(); // other code writes to standard error too, so it stays open
          }
        };
    return new DaemonLog(
        (LoggerContext) LoggerFactory.getILoggerFactory(), format, unclosable, RECORDS_PER_SECOND);
  }

  /**
   * Applies the budget of state changes to the records of libraries, which reach the queue without
   * {@link #event}.
   */
  private final class LibraryRecordFilter extends Filter<ILoggingEvent> {
    @Override
    public FilterReply decide(ILoggingEvent e) {
      return e.getLoggerName().equals(LOGGER) || tryAcquire(events)
          ? FilterReply.NEUTRAL
          : FilterReply.DENY;
    }
  }

  private boolean tryAcquire(RecordBudget budget) {
    if (!budget.tryAcquire(System.nanoTime() / 1_000_000_000L)) {
      return false;
    }
    if (queue.getRemainingCapacity() == 0) {
      budget.countDropped();
      return false;
    }
    return true;
  }

  /** Logs how many records were dropped, ahead of the next record that is written. */
  private void logDropped(RecordBudget budget, String kind) {
    long count = budget.takeDropped();
    if (count > 0) {
      write(logger.atWarn(), "records dropped", "of", kind, "count", count);
    }
  }

  private static void write(LoggingEventBuilder builder, String message, Object... fields) {
    LoggingEventBuilder entry = builder;
    for (int i = 0; i + 1 < fields.length; i += 2) {
      if (fields[i + 1] != null) {
        entry = entry.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
      }
    }
    entry.log(message);
  }

  @Override
  public void event(String message, Object... fields) {
    if (tryAcquire(events)) {
      logDropped(events, "events");
      write(logger.atInfo(), message, fields);
    }
  }

  @Override
  public void detail(String message, Object... fields) {
    if (tryAcquire(requests)) {
      logDropped(requests, "requests");
      write(logger.atInfo(), message, fields);
    }
  }

  @Override
  public void failure(String message, Throwable t) {
    if (tryAcquire(events)) {
      logDropped(events, "events");
      logger.atError().setCause(t).log(message);
    }
  }

  /** Writes the queued records, for one second at most, and closes the log. */
  @Override
  public void close() {
    logDropped(requests, "requests");
    logDropped(events, "events");
    context.stop();
  }
}
