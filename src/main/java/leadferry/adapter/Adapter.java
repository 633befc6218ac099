package leadferry.adapter;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.EndpointUpdate;
import leadferry.loadbalancer.LoadBalancer;

/**
 * Hosts one {@link LoadBalancer} for each instance named on the simulator's wire: takes batches of
 * events, and answers each with the commands that came of it.
 */
public final class Adapter {
  private final EventReader events;
  private final OutputStream output;
  private final PrintStream errors;
  private final ReplyWriter reply = new ReplyWriter();
  private final Map<Long, Instance> instances = new HashMap<>();
  private double nowMillis;

  /** Creates an adapter on these streams. */
  public Adapter(InputStream input, OutputStream output, PrintStream errors) {
    this.events = new EventReader(new LineReader(input));
    this.output = output;
    this.errors = errors;
  }

  /**
   * Answers batches until the input ends.
   *
   * @throws MalformedInputException if the input is not of the wire
   */
  public void run() throws IOException {
    while (events.next()) {
      if (events.event() != WireEvent.BATCH_START) {
        throw events.malformed("a batch starts with 'sync'");
      }
      nowMillis = events.nowMillis();
      boolean isAlive = processBatch();
      reply.flush(output);
      if (!isAlive) {
        return;
      }
    }
  }

  /** Answers the events of a batch; false once the decisions have failed. */
  private boolean processBatch() throws IOException {
    boolean isAlive = true;
    while (true) {
      if (!events.next()) {
        throw new MalformedInputException("the input ends in the middle of a batch");
      }
      WireEvent event = events.event();
      if (event == WireEvent.BATCH_END) {
        reply.writeWord("ok").endLine();
        return isAlive;
      }
      if (isAlive) {
        isAlive = processEvent(event);
      }
    }
  }

  /** Answers an event; false where the decisions have failed. */
  private boolean processEvent(WireEvent event) throws IOException {
    try {
      dispatch(event);
      return true;
    } catch (MalformedInputException e) {
      throw e;
    } catch (RuntimeException e) {
      // A failure of the decisions must be seen, never swallowed.
      e.printStackTrace(errors);
      CommandWriter.writeCrash(reply, events.instanceOrZero(), e.toString());
      return false;
    }
  }

  private void dispatch(WireEvent event) throws IOException {
    switch (event) {
      case ATTEMPT_OUTCOME -> onOutcome();
      case REQUEST_ARRIVAL -> onRequest();
      case TIMER -> onTimer();
      case ENDPOINT_BUFFER -> events.readEndpointBuffer();
      case ENDPOINT_LIST -> onEndpointList();
      case LOAD_REPORT -> onLoadReport();
      case CLIENT_DISCONNECT -> onClientDisconnect();
      case FIRST_BYTE -> onFirstByte();
      case GOSSIP_MESSAGE -> onMessage();
      case INSTANCE_START -> startInstance();
      case INSTANCE_STOP -> instances.remove(events.instance());
      case BATCH_START, ENDPOINT_ENTRY ->
          throw events.malformed("'" + events.eventName() + "' is out of place");
      case BATCH_END, UNKNOWN -> {} // an event that is not known is skipped
    }
  }

  /** The instance that the event is for, or null: it may have been retired. */
  private Instance instance() {
    return instances.get(events.instance());
  }

  private void startInstance() {
    long id = events.instance();
    JsonNode settings = SettingsReader.parse(events.settings());
    long seed = events.seed();
    Instance instance =
        new Instance(
            SettingsReader.read(settings),
            SettingsReader.canMessagePeers(settings),
            seed,
            new CommandWriter(id, reply));
    instances.put(id, instance);
    instance.start(nowMillis);
  }

  private void onOutcome() {
    Instance instance = instance();
    long request = events.request();
    int attempt = events.attempt();
    AttemptOutcome outcome = events.outcome();
    double spentMillis = events.spentMillis();
    boolean isRequestOver = events.isRequestOver();
    if (instance == null) {
      return;
    }
    if (instance.hasGossip() && outcome != null && outcome.hasResponse()) {
      instance.onResponse(nowMillis, events.endpoint());
    }
    // A reason that is not known proves nothing: as an error, it may have run.
    AttemptOutcome knownOutcome = outcome == null ? AttemptOutcome.ERROR : outcome;
    instance.onOutcome(
        nowMillis, request, attempt, knownOutcome, spentMillis, isRequestOver, events.loadReport());
  }

  private void onRequest() {
    Instance instance = instance();
    long request = events.request();
    String className = events.requestClass();
    double budgetMillis = events.budgetMillis();
    if (instance != null) {
      instance.onRequest(nowMillis, events.arrival(request, className, budgetMillis));
    }
  }

  private void onTimer() {
    Instance instance = instance();
    long token = events.timerToken();
    if (instance != null) {
      instance.onTimer(nowMillis, token);
    }
  }

  private void onEndpointList() {
    Instance instance = instance();
    EndpointListEvent event = events.endpointListEvent();
    if (instance == null || event == null) {
      return;
    }
    List<EndpointUpdate> updates =
        event == EndpointListEvent.FAILED ? List.of() : events.endpointUpdates();
    instance.onEndpointList(nowMillis, event, updates);
  }

  private void onLoadReport() {
    Instance instance = instance();
    long endpoint = events.endpoint();
    if (instance != null) {
      instance.onLoadReport(nowMillis, endpoint, events.loadReport());
    }
  }

  private void onClientDisconnect() {
    Instance instance = instance();
    long request = events.request();
    if (instance != null) {
      instance.onClientDisconnect(nowMillis, request);
    }
  }

  private void onFirstByte() {
    Instance instance = instance();
    long request = events.request();
    int attempt = events.attempt();
    if (instance != null) {
      instance.onFirstByte(nowMillis, request, attempt, events.spentMillis());
    }
  }

  private void onMessage() {
    Instance instance = instance();
    if (instance != null && instance.hasGossip()) {
      instance.onMessage(nowMillis, events.senderIndex(), events.message());
    }
  }
}
