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
import leadferry.loadbalancer.RequestPolicy;

/**
 * Runs one {@link LoadBalancer} per instance of the simulator. Reads batches of events and replies
 * to each with the commands that result from it.
 */
public final class Adapter {
  private final EventReader events;
  private final OutputStream output;
  private final PrintStream errors;
  private final ReplyWriter reply = new ReplyWriter();
  private final Map<Long, Instance> instances = new HashMap<>();
  private double nowMillis;

  /** Creates an adapter that reads and writes these streams. */
  public Adapter(InputStream input, OutputStream output, PrintStream errors) {
    this.events = new EventReader(new LineReader(input));
    this.output = output;
    this.errors = errors;
  }

  /**
   * Processes batches until the input ends.
   *
   * @throws MalformedInputException if the input violates the wire format
   */
  public void run() throws IOException {
    while (events.next()) {
      if (events.event() != WireEvent.BATCH_START) {
        throw events.malformed("unexpected event (expected: 'sync' at the start of a batch)");
      }
      nowMillis = events.nowMillis();
      boolean isAlive = processBatch();
      reply.flush(output);
      if (!isAlive) {
        return;
      }
    }
  }

  /**
   * Processes the events of a batch. Returns false after an unexpected exception in the load
   * balancer.
   */
  private boolean processBatch() throws IOException {
    boolean isAlive = true;
    while (true) {
      if (!events.next()) {
        throw new MalformedInputException("input ends in the middle of a batch (expected: 'eob')");
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

  /** Processes an event. Returns false if the load balancer threw an unexpected exception. */
  private boolean processEvent(WireEvent event) throws IOException {
    try {
      dispatch(event);
      return true;
    } catch (MalformedInputException e) {
      throw e;
    } catch (RuntimeException e) {
      // Reports the exception to the simulator, which must not miss it.
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
          throw events.malformed("event '" + events.eventName() + "' is not allowed here");
      case BATCH_END, UNKNOWN -> {} // unknown events are skipped
    }
  }

  /** Returns the instance that the event is for, or null if it has been retired. */
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
    // An unknown reason proves nothing, so it counts as an error after which the request may have
    // been executed.
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
      RequestPolicy policy = instance.policyOf(className, budgetMillis);
      instance.onRequest(nowMillis, events.arrival(request, policy, budgetMillis));
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
