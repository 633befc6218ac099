package leadferry.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Initial configuration of Logback, found as a service: warnings of libraries on standard error.
 *
 * <p>Guards against Logback's defaults: every debug line on the standard output of commands, and a
 * search for XML files at the start.
 */
public final class QuietLogging extends ContextAwareBase implements Configurator {
  @Override
  public ExecutionStatus configure(LoggerContext context) {
    // OutputStreamAppender would close standard error for the whole process when it stops.
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setEncoder(new RecordEncoder(context, LogFormat.TEXT));
    appender.setTarget("System.err");
    appender.start();
    var root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(appender);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
