package leadferry.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** An adapter that runs in its own thread until {@link #close}. */
final class AdapterThread implements AutoCloseable {
  private static final int PIPE_BYTES = 1 << 16;

  private final PipedOutputStream events = new PipedOutputStream();
  private final BufferedReader commands;
  private final Thread thread;

  AdapterThread() throws IOException {
    PipedInputStream input = new PipedInputStream(events, PIPE_BYTES);
    PipedInputStream replies = new PipedInputStream(PIPE_BYTES);
    OutputStream output = new PipedOutputStream(replies);
    commands = new BufferedReader(new InputStreamReader(replies, StandardCharsets.UTF_8));
    thread = new Thread(() -> run(input, output), "adapter");
    thread.start();
  }

  private static void run(PipedInputStream input, OutputStream output) {
    try {
      new Adapter(input, output, new PrintStream(System.err, true, StandardCharsets.UTF_8)).run();
      output.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sends a batch to the adapter and returns the commands of its reply. */
  List<String> exchange(String batch) throws IOException {
    events.write(batch.getBytes(StandardCharsets.UTF_8));
    events.flush();
    List<String> receivedCommands = new ArrayList<>();
    String line;
    while (!(line = commands.readLine()).equals("ok")) {
      receivedCommands.add(line);
    }
    return receivedCommands;
  }

  @Override
  public void close() throws IOException {
    events.close();
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
