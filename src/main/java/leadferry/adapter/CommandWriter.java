package leadferry.adapter;

import java.util.Base64;

/**
 * Writes the commands of one instance in the order of the calls. This is the only class that maps
 * the load balancer's actions to the names in the simulator's wire format.
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
    start("transmit")
        .writeWord(" txn=")
        .writeNumber(request)
        .writeWord(" host=")
        .writeNumber(endpoint)
        .endLine();
  }

  /** Writes a rejection. A {@code retryAfterMillis} of 0 or less is omitted. */
  void reject(long request, double retryAfterMillis) {
    start("shed").writeWord(" txn=").writeNumber(request);
    if (retryAfterMillis > 0) {
      reply.writeWord(" coolDown=").writeMillis(retryAfterMillis);
    }
    reply.endLine();
  }

  void fail(long request) {
    start("abort").writeWord(" txn=").writeNumber(request).endLine();
  }

  void cancel(long request, int attempt) {
    start("cancel")
        .writeWord(" txn=")
        .writeNumber(request)
        .writeWord(" sendNo=")
        .writeNumber(attempt)
        .endLine();
  }

  void schedule(double delayMillis, long token) {
    start("set_timer").writeWord(" sleepFor=").writeMillis(Math.max(0, delayMillis));
    reply.writeWord(" token=").writeNumber(token).endLine();
  }

  void broadcast(byte[] message) {
    String encoded = Base64.getEncoder().encodeToString(message);
    start("memo_to").writeWord(" recipient=all raw=").writeWord(encoded).endLine();
  }

  void watchEndpoints() {
    start("follow").writeWord(" active=1").endLine();
  }

  void log(String text) {
    start("say_log").writeWord(" text=").writeText(text).endLine();
  }

  /** Reports an unexpected exception in the load balancer. The adapter ends after this command. */
  static void writeCrash(ReplyWriter reply, long instance, String text) {
    reply
        .writeWord("crash who=")
        .writeNumber(instance)
        .writeWord(" text=")
        .writeText(text)
        .endLine();
  }

  private ReplyWriter start(String command) {
    return reply.writeWord(command).writeWord(" who=").writeNumber(instance);
  }
}
