package leadferry.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * What Logback begins with, found as a service: warnings of libraries on standard error. Guards
 * commands against its own default, every debug line on standard output, and the start against a
 * search for XML.
 */
public final class QuietLogging extends ContextAwareBase implements Configurator {
  @Override
  public ExecutionStatus configure(LoggerContext context) {
    // Not an appender of a stream: the end of that one closes standard error for everybody.
    ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
    out.setContext(context);
    out.setEncoder(new RecordEncoder(context, LogFormat.TEXT));
    out.setTarget("System.err");
    out.start();
    var root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(out);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
