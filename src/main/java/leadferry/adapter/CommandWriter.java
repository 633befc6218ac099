package leadferry.adapter;

import java.util.Base64;

/**
 * Writes the commands of one instance in the order in which they are made. The one place that maps
 * its actions to the words of the simulator's wire.
 *
 * <pre>
 *   send      transmit  who txn host          broadcast       memo_to    who recipient raw
 *   reject    shed      who txn [coolDown]    watchEndpoints  follow     who active
 *   fail      abort     who txn               schedule        set_timer  who sleepFor token
 *   cancel    cancel    who txn sendNo        log             say_log    who text
 * </pre>
 */
final class CommandWriter {
  private final long instance;
  private final ReplyWriter reply;

  CommandWriter(long instance, ReplyWriter reply) {
    this.instance = instance;
    this.reply = reply;
  }

  void send(long request, long endpoint) {
    start("transmit").word(" txn=").number(request).word(" host=").number(endpoint).end();
  }

  /** A wait of 0 or less is not told. */
  void reject(long request, double retryAfterMillis) {
    start("shed").word(" txn=").number(request);
    if (retryAfterMillis > 0) {
      reply.word(" coolDown=").time(retryAfterMillis);
    }
    reply.end();
  }

  void fail(long request) {
    start("abort").word(" txn=").number(request).end();
  }

  void cancel(long request, int attempt) {
    start("cancel").word(" txn=").number(request).word(" sendNo=").number(attempt).end();
  }

  void schedule(double delayMillis, long token) {
    start("set_timer").word(" sleepFor=").time(Math.max(0, delayMillis));
    reply.word(" token=").number(token).end();
  }

  void broadcast(byte[] message) {
    String encoded = Base64.getEncoder().encodeToString(message);
    start("memo_to").word(" recipient=all raw=").word(encoded).end();
  }

  void watchEndpoints() {
    start("follow").word(" active=1").end();
  }

  void log(String text) {
    start("say_log").word(" text=").text(text).end();
  }

  /** Tells that the decisions have failed; the adapter ends with it. */
  static void crash(ReplyWriter reply, long instance, String text) {
    reply.word("crash who=").number(instance).word(" text=").text(text).end();
  }

  private ReplyWriter start(String command) {
    return reply.word(command).word(" who=").number(instance);
  }
}
