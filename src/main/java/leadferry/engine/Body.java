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
  /** Capacity (bytes) of a block at most. */
  private static final int BLOCK_BYTES = 64 * 1024;

  /** Capacity (bytes) of a block at least, where no length was announced. */
  private static final int SMALLEST_BLOCK_BYTES = 512;

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

  /** Copies all bytes that can be read, and charges the budget for them. */
  public void append(ByteBuf bytes) {
    int added = bytes.readableBytes();
    budget.charge(added, partial);
    size += added;
    while (bytes.isReadable()) {
      ByteBuf last = blocks.isEmpty() ? null : blocks.get(blocks.size() - 1);
      if (last == null || last.maxWritableBytes() == 0) {
        long rest = expected < 0 ? SMALLEST_BLOCK_BYTES : expected - (size - bytes.readableBytes());
        int capacity =
            (int) Math.max(1, Math.min(BLOCK_BYTES, Math.max(rest, bytes.readableBytes())));
        last = allocator.directBuffer(capacity, BLOCK_BYTES);
        blocks.add(last);
      }
      last.writeBytes(bytes, Math.min(bytes.readableBytes(), last.maxWritableBytes()));
    }
  }

  /** Bytes that are held. */
  public long size() {
    return size;
  }

  /** The request has come whole: its bytes are freed at its deadline at last. */
  public void onRequestComplete() {
    if (partial) {
      partial = false;
      budget.onRequestComplete(size);
    }
  }

  /** The blocks, each retained for one write. */
  public List<ByteBuf> retainedBlocks() {
    List<ByteBuf> duplicates = new ArrayList<>(blocks.size());
    for (ByteBuf block : blocks) {
      duplicates.add(block.retainedDuplicate());
    }
    return duplicates;
  }

  /** Gives the bytes back; harmless if done before. */
  public void release() {
    for (ByteBuf block : blocks) {
      block.release();
    }
    blocks.clear();
    long freed = size;
    size = 0;
    if (freed > 0) {
      budget.release(freed, partial);
    }
  }
}
