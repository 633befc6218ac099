package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import leadferry.disruption.Outcome;

/**
 * Handles the connection of one caller: decodes requests, has the replica carry them out, and
 * writes each response as soon as it is available.
 */
final class ReplicaConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
  private static final long NO_VERSION = -1;

  private final Channel channel;
  private final String fleet;
  private final Replica replica;
  private final Set<ReplicaConnectionHandler> connections;
  private volatile boolean watchesView;
  private volatile long pushedVersion = NO_VERSION;

  /**
   * Creates the handler of {@code channel}. The handler is in {@code connections} while the channel
   * is active.
   */
  ReplicaConnectionHandler(
      Channel channel, String fleet, Replica replica, Set<ReplicaConnectionHandler> connections) {
    this.channel = channel;
    this.fleet = fleet;
    this.replica = replica;
    this.connections = connections;
  }

  /**
   * Returns whether a fleet view of this version has to be pushed to the caller: the caller watches
   * the view and has not been sent this version or a later one, and the channel is writable.
   */
  boolean shouldPush(long version) {
    return watchesView && pushedVersion < version && channel.isWritable();
  }

  /**
   * Pushes the fleet view to the caller.
   *
   * @param line the view as a line of {@link LineProtocol}
   * @param version version of the view
   */
  void push(ByteBuf line, long version) {
    pushedVersion = version;
    channel.writeAndFlush(line);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    connections.add(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    connections.remove(this);
  }

  /**
   * Stops reading while the channel is not writable. Guards against a caller that sends requests
   * and never reads the responses.
   */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    channel.config().setAutoRead(channel.isWritable());
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    ObjectNode message = Json.parse(ByteBufUtil.getBytes(frame));
    if (message == null) {
      context.close();
      return;
    }
    long id = message.path("id").asLong();
    Consumer<ReplicaResponse> responder = response -> respond(id, response);
    if (!message.path("fleet").asText().equals(fleet)) {
      responder.accept(new ReplicaResponse.Rejected("this is fleet " + fleet));
      return;
    }
    dispatch(ReplicaRequest.decode(message), responder);
  }

  private void dispatch(ReplicaRequest request, Consumer<ReplicaResponse> responder) {
    if (request instanceof ReplicaRequest.Submit submit) {
      watchesView |= LogEntryCodec.isJoin(submit.entry());
      replica.submit(submit.entry(), responder);
    } else if (request instanceof ReplicaRequest.Health) {
      responder.accept(new ReplicaResponse.Completed(replica.health()));
    } else if (request instanceof ReplicaRequest.Invalid invalid) {
      responder.accept(new ReplicaResponse.Rejected(invalid.reason()));
    } else if (request instanceof ReplicaRequest.RenewSession renewal) {
      replica.respondAsLeader(leader -> renewSession(leader, renewal), responder);
    } else if (request instanceof ReplicaRequest.RenewDriverLease renewal) {
      replica.respondAsLeader(leader -> renewDriverLease(leader, renewal), responder);
    } else if (request instanceof ReplicaRequest.MemberReports) {
      replica.respondAsLeader(Replica::memberReports, responder);
    } else {
      Function<FleetStateMachine, ObjectNode> query = queryOf(request);
      replica.respondAsLeader(leader -> leader.query(query), responder);
    }
  }

  private ObjectNode renewSession(Replica leader, ReplicaRequest.RenewSession renewal) {
    watchesView = true;
    boolean renewed = leader.renewSession(renewal.name(), renewal.session(), renewal.report());
    return renewalBody(renewed).put("reports", leader.shouldSendReports());
  }

  private static ObjectNode renewDriverLease(
      Replica leader, ReplicaRequest.RenewDriverLease renewal) {
    return renewalBody(leader.renewDriverLease(renewal.release(), renewal.fence()));
  }

  private static ObjectNode renewalBody(boolean renewed) {
    Outcome.Status status = renewed ? Outcome.Status.DONE : Outcome.Status.UNKNOWN;
    return Json.object().put("status", status.storedName());
  }

  private static Function<FleetStateMachine, ObjectNode> queryOf(ReplicaRequest request) {
    if (request instanceof ReplicaRequest.Status status) {
      return stateMachine -> stateMachine.status(status.includeHistory());
    }
    if (request instanceof ReplicaRequest.ReleaseStatus status) {
      return stateMachine -> stateMachine.releaseStatus(status.release());
    }
    if (request instanceof ReplicaRequest.ExplainDrain explain) {
      return stateMachine -> stateMachine.explainDrain(explain.kind(), explain.name());
    }
    if (request instanceof ReplicaRequest.GrantStatus status) {
      return stateMachine -> stateMachine.grantStatus(status.grantId());
    }
    throw new IllegalArgumentException("request: " + request + " (expected: a query)");
  }

  private void respond(long id, ReplicaResponse response) {
    byte[] line = LineProtocol.encode(response.encode().put("id", id));
    channel.writeAndFlush(Unpooled.wrappedBuffer(line));
  }
}
