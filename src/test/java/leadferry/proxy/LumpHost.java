package leadferry.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Host that gives responses of unknown length in lumps, as the id of each request specifies. */
final class LumpHost extends ProxyFixture.UpstreamHost {
  /**
   * Form of a response, written as the id of its request.
   *
   * @param chunked whether the response is chunked; otherwise the close of the connection ends it
   * @param size bytes of the body
   * @param firstBytes bytes that follow the head at once
   * @param pauseMillis pause before each further lump
   * @param lumps number of further lumps of about equal size; 0 for a response that never ends
   */
  record Form(boolean chunked, int size, int firstBytes, int pauseMillis, int lumps) {
    String id() {
      return String.join(
          ".",
          chunked ? "chunked" : "close",
          Integer.toString(size),
          Integer.toString(firstBytes),
          Integer.toString(pauseMillis),
          Integer.toString(lumps));
    }

    private static Form parse(String id) {
      String[] words = id.split("\\.");
      return new Form(
          words[0].equals("chunked"),
          Integer.parseInt(words[1]),
          Integer.parseInt(words[2]),
          Integer.parseInt(words[3]),
          Integer.parseInt(words[4]));
    }
  }

  LumpHost(ProxyFixture fixture) throws IOException {
    fixture.super(request -> null);
  }

  /** Returns the body of the response with this form. */
  static String body(Form form) {
    StringBuilder text = new StringBuilder(form.size() + 10);
    for (int i = 0; text.length() < form.size(); i++) {
      text.append(i).append(' ');
    }
    return text.substring(0, form.size());
  }

  @Override
  void serve(Socket socket) throws IOException, InterruptedException {
    String request;
    while ((request = ProxyFixture.readMessage(socket.getInputStream())) != null) {
      Form form = Form.parse(ProxyFixture.headerValue(request, "X-Request-ID"));
      respond(socket, form);
      if (!form.chunked()) {
        socket.close();
        return;
      }
    }
  }

  private static void respond(Socket socket, Form form) throws IOException, InterruptedException {
    String framing = form.chunked() ? "Transfer-Encoding: chunked" : "Connection: close";
    ProxyFixture.write(socket, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
    String body = body(form);
    writePart(socket, form, body.substring(0, form.firstBytes()));
    int start = form.firstBytes();
    for (int i = 1; i <= form.lumps(); i++) {
      Thread.sleep(form.pauseMillis());
      int end = i == form.lumps() ? body.length() : start + (body.length() - start) / form.lumps();
      writePart(socket, form, body.substring(start, end));
      start = end;
    }
    if (form.lumps() == 0) {
      ProxyFixture.readMessage(socket.getInputStream()); // until the proxy closes
    } else if (form.chunked()) {
      ProxyFixture.write(socket, "0\r\n\r\n");
    }
  }

  private static void writePart(Socket socket, Form form, String part) throws IOException {
    if (part.isEmpty()) {
      return;
    }
    OutputStream out = socket.getOutputStream();
    byte[] bytes = part.getBytes(StandardCharsets.ISO_8859_1);
    if (form.chunked()) {
      ProxyFixture.write(socket, Integer.toHexString(bytes.length) + "\r\n");
    }
    out.write(bytes);
    if (form.chunked()) {
      ProxyFixture.write(socket, "\r\n");
    }
  }
}
