package leadferry.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayList;
import java.util.List;

/**
 * A buffered body. Bytes are copied into blocks of its own: slices of the read buffers would keep
 * whole read buffers alive for a few bytes each when a body comes slowly.
 */
public final class Body {
  private static final int BLOCK = 64 * 1024;
  private static final int FIRST = 512;

  private final BodyBudget budget;
  private final ByteBufAllocator allocator;
  private final List<ByteBuf> blocks = new ArrayList<>(1);
  private final long expected;
  private long size;
  private boolean partial;

  /**
   * {@code expected} is the length that was announced, or -1; {@code partial} marks a request's.
   */
  Body(BodyBudget budget, ByteBufAllocator allocator, long expected, boolean partial) {
    this.budget = budget;
    this.allocator = allocator;
    this.expected = expected;
    this.partial = partial;
  }

  public void append(ByteBuf bytes) {
    int n = bytes.readableBytes();
    budget.charge(n, partial);
    size += n;
    while (bytes.isReadable()) {
      ByteBuf last = blocks.isEmpty() ? null : blocks.get(blocks.size() - 1);
      if (last == null || last.maxWritableBytes() == 0) {
        long rest = expected < 0 ? FIRST : expected - (size - bytes.readableBytes());
        int capacity = (int) Math.max(1, Math.min(BLOCK, Math.max(rest, bytes.readableBytes())));
        last = allocator.directBuffer(capacity, BLOCK);
        blocks.add(last);
      }
      last.writeBytes(bytes, Math.min(bytes.readableBytes(), last.maxWritableBytes()));
    }
  }

  public long size() {
    return size;
  }

  public void completed() {
    if (partial) {
      partial = false;
      budget.completed(size);
    }
  }

  /** The blocks, each retained for one write. */
  public List<ByteBuf> retained() {
    List<ByteBuf> out = new ArrayList<>(blocks.size());
    for (ByteBuf b : blocks) {
      out.add(b.retainedDuplicate());
    }
    return out;
  }

  /** Gives the bytes back; harmless if done before. */
  public void free() {
    for (ByteBuf b : blocks) {
      b.release();
    }
    blocks.clear();
    long freed = size;
    size = 0;
    if (freed > 0) {
      budget.release(freed, partial);
    }
  }
}
