package leadferry.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayList;
import java.util.List;

/**
 * Buffers a body in memory blocks of its own. Slices of the read buffers would cost more where a
 * body arrives slowly: each slice of a few bytes would retain a whole read buffer.
 */
public final class Body {
  /** Largest capacity (bytes) of a block. */
  private static final int BLOCK_BYTES = 64 * 1024;

  /** Maximum memory (bytes) of a block beyond its bytes, which the budget does not count. */
  private static final int MAX_SPARE_BYTES = 4 * 1024;

  private final BodyBudget budget;
  private final ByteBufAllocator allocator;
  private final List<ByteBuf> blocks = new ArrayList<>(1);
  private final long expected;
  private long size;
  private boolean partial;

  /**
   * Creates an empty body. {@code expected} is the announced length in bytes, or -1; {@code
   * partial} marks the body of a request that is still incomplete.
   */
  Body(BodyBudget budget, ByteBufAllocator allocator, long expected, boolean partial) {
    this.budget = budget;
    this.allocator = allocator;
    this.expected = expected;
    this.partial = partial;
  }

  /** Copies all readable bytes and charges them to the budget. */
  public void append(ByteBuf bytes) {
    budget.charge(bytes.readableBytes(), partial);
    size += bytes.readableBytes();
    while (bytes.isReadable()) {
      ByteBuf last = blocks.isEmpty() ? null : blocks.get(blocks.size() - 1);
      if (last == null || last.readableBytes() == BLOCK_BYTES) {
        last = allocator.directBuffer(0, BLOCK_BYTES);
        blocks.add(last);
      }
      int added = Math.min(bytes.readableBytes(), BLOCK_BYTES - last.readableBytes());
      grow(last, added, size - bytes.readableBytes());
      last.writeBytes(bytes, added);
    }
  }

  /**
   * Makes room in a block for bytes that follow {@code heldBytes} of the body. A block grows with
   * its bytes: one of the announced length would take memory for bytes that a slow sender never
   * sends.
   */
  private void grow(ByteBuf block, int addedBytes, long heldBytes) {
    int neededBytes = block.readableBytes() + addedBytes;
    if (neededBytes <= block.capacity()) {
      return;
    }
    long announcedBytes =
        expected < 0 ? BLOCK_BYTES : block.readableBytes() + Math.max(0, expected - heldBytes);
    long wanted = Math.min(neededBytes + MAX_SPARE_BYTES, announcedBytes);
    block.capacity((int) Math.min(BLOCK_BYTES, Math.max(neededBytes, wanted)));
  }

  /** Returns the number of bytes held. */
  public long size() {
    return size;
  }

  /**
   * Marks the request as received in full. From now on, the bytes of this body are freed at the
   * request's deadline at the latest.
   */
  public void onRequestComplete() {
    if (partial) {
      partial = false;
      budget.onRequestComplete(size);
    }
  }

  /** Returns duplicates of the blocks, each retained for one write. */
  public List<ByteBuf> retainedBlocks() {
    List<ByteBuf> duplicates = new ArrayList<>(blocks.size());
    for (ByteBuf block : blocks) {
      duplicates.add(block.retainedDuplicate());
    }
    return duplicates;
  }

  /** Frees the bytes; has no effect where they have been freed. */
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
