package leadferry.engine;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/** I/O handler of an event loop that passes every call on to another one. */
abstract class DelegatingIoHandler implements IoHandler {
  private final IoHandler handler;

  DelegatingIoHandler(IoHandler handler) {
    this.handler = handler;
  }

  @Override
  public void initialize() {
    handler.initialize();
  }

  @Override
  public int run(IoHandlerContext context) {
    return handler.run(context);
  }

  @Override
  public void prepareToDestroy() {
    handler.prepareToDestroy();
  }

  @Override
  public void destroy() {
    handler.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return handler.register(handle);
  }

  @Override
  public void wakeup() {
    handler.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return handler.isCompatible(type);
  }
}
