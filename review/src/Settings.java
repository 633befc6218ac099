/** Settings of a small deployment, with the names and units of the simulator's first message. */
final class Settings {
  String claim = requestClass("visit-claim", "at_most_once", "all", 800, 5000, 8);
  String log = requestClass("visit-log", "deduplicated", "cell", 1200, 750, 5);
  String more = "";
  String zone = "fukuoka-dc";
  String zones = "\"fukuoka-dc\"";
  String mode = "automatic";
  double askWithin = 10_000;
  int memoryMb = 192;
  int sockets = 1024;

  static String requestClass(String name, String semantics, String scope, int deadline, int window, int value) {
    return String.format(
        "{\"aim\":400.0,\"deadline\":%d.0,\"keyScope\":\"%s\",\"lateWorth\":0.0,\"name\":\"%s\",\"repeatWindow\":%d.0,\"semantics\":\"%s\",\"streamed\":false,\"value\":%d.0}",
        deadline, scope, name, window, semantics, value);
  }

  String json() {
    return "{\"balancers\":1,\"blend\":{\"whole\":0.55,\"worstClass\":0.1,\"worstTenant\":0.0,\"worstWindow\":0.35},"
        + "\"classes\":[" + claim + "," + log + more + "],\"clients\":{\"marksRetry\":false},"
        + "\"fees\":{\"connection\":0.03,\"crossZone\":0.0,\"handshake\":0.03,\"lateFail\":0.05,\"membershipMode\":0.0,\"moves\":0.0,\"origin\":0.0,\"peer\":0.01,\"probe\":0.01,\"waste\":0.04},"
        + "\"kindOfService\":\"mesh\",\"kinds\":[\"fast-3core\",\"std-3core\"],"
        + "\"limits\":{\"cancel\":true,\"connIdle\":60000.0,\"connectTimeout\":200.0,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":141890,\"maxAttempts\":6,\"maxOpen\":28378,\"maxRetryAfter\":1200.0,\"parallelTries\":true,\"peers\":false,\"probes\":true,\"retryAfter\":true,\"streamsPerConn\":1},"
        + "\"membershipMode\":\"" + mode + "\",\"overShareWorth\":0.1,\"period\":5.0,\"position\":0,"
        + "\"report\":{\"fields\":[\"fail_rate\",\"rif\"],\"how\":\"answers\"},"
        + "\"rules\":{\"answerSlack\":20.0,\"askWithin\":" + askWithin + ",\"cold\":8700.0,\"drainGrace\":500.0,\"fall\":1500.0,\"fallMultiple\":3.0,\"startCapacity\":0.3},"
        + "\"specifics\":{\"warmKeys\":false},\"stage\":0,\"tenants\":[],\"tiers\":[\"roster-api\"],\"weights\":\"none\",\"worthBy\":\"request\",\"zone\":\"" + zone + "\",\"zones\":[" + zones + "]}";
  }

  String config(Lab.Proxy proxy, Discovery discovery) {
    return String.format(
        "{\"name\":\"%s\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"%s\",\"seed\":\"%x\",\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},\"known\":%s,\"settings\":%s}",
        proxy.name, proxy.port, discovery.address(), System.nanoTime(), memoryMb, sockets, discovery.list(), json());
  }
}
