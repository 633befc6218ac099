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
 * The daemon's log: records with fields through SLF4J and Logback.
 *
 * <pre>
 *   worker --- budget of this second --- queue, never waited for --- a thread --- the stream
 *                 |                        | full
 *                 +--> counted <-----------+
 * </pre>
 *
 * <p>Requests have a budget of their own, so that a storm of refusals hides no change of state.
 * What libraries tell goes by the budget of changes of state. Guards workers against whoever reads
 * the stream and stops: they drop and count, the thread waits.
 */
public final class DaemonLog implements Log, AutoCloseable {
  static final String LOGGER = "leadferry";

  /** Records a second, of requests and of all else, each. */
  static final int RECORDS_PER_SECOND = 50;

  /** Records that wait to be written; some seconds of both budgets. */
  private static final int QUEUE_CAPACITY = 512;

  private final LoggerContext context;
  private final Logger logger;
  private final AsyncAppender queue = new AsyncAppender();
  private final RecordBudget requests;
  private final RecordBudget events;

  /** A log of this context, which is emptied first, with so many records of each kind a second. */
  DaemonLog(LoggerContext context, LogFormat form, OutputStream out, int perSecond) {
    this.context = context;
    this.requests = new RecordBudget(perSecond);
    this.events = new RecordBudget(perSecond);
    context.reset();
    if (context.getMDCAdapter() == null) {
      context.setMDCAdapter(new LogbackMDCAdapter()); // SLF4J gives one to its own context only
    }
    OutputStreamAppender<ILoggingEvent> writer = new OutputStreamAppender<>();
    writer.setContext(context);
    writer.setEncoder(new RecordEncoder(context, form));
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

  /** The log of this process, libraries' warnings included. */
  public static DaemonLog onStandardError(LogFormat form) {
    OutputStream open =
        new FilterOutputStream(System.err) {
          @Override
          public void write(byte[] b, int from, int n) throws IOException {
            out.write(b, from, n);
          }

          @Override
          public void close() throws IOException {
            out.flush(); // others write there, too
          }
        };
    return new DaemonLog(
        (LoggerContext) LoggerFactory.getILoggerFactory(), form, open, RECORDS_PER_SECOND);
  }

  /** Libraries log by themselves, so their records meet the budget here. */
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

  /** Tells what was left out, with the next record that is not. */
  private void logDropped(RecordBudget budget, String kind) {
    long n = budget.takeDropped();
    if (n > 0) {
      write(logger.atWarn(), "left out", "of", kind, "count", n);
    }
  }

  private static void write(LoggingEventBuilder to, String what, Object... fields) {
    LoggingEventBuilder b = to;
    for (int i = 0; i + 1 < fields.length; i += 2) {
      if (fields[i + 1] != null) {
        b = b.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
      }
    }
    b.log(what);
  }

  @Override
  public void event(String what, Object... fields) {
    if (tryAcquire(events)) {
      logDropped(events, "events");
      write(logger.atInfo(), what, fields);
    }
  }

  @Override
  public void detail(String what, Object... fields) {
    if (tryAcquire(requests)) {
      logDropped(requests, "requests");
      write(logger.atInfo(), what, fields);
    }
  }

  @Override
  public void failure(String what, Throwable t) {
    if (tryAcquire(events)) {
      logDropped(events, "events");
      logger.atError().setCause(t).log(what);
    }
  }

  /** Writes what waits, for a second at most, and ends. */
  @Override
  public void close() {
    logDropped(requests, "requests");
    logDropped(events, "events");
    context.stop();
  }
}
