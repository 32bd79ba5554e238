package io.lycheejunction.proxy.caller;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.function.Supplier;

/** Interrupts the processing of a request when its caller closes the connection. */
final class DisconnectInterrupter {

  private DisconnectInterrupter() {}

  /**
   * The result of processing a request.
   *
   * @param answer the answer
   * @param isDisconnected true if the caller closed its connection before the answer was ready
   */
  record Completion(Answer answer, boolean isDisconnected) {}

  /**
   * Returns the answer that the work supplies; the calling thread is interrupted if the caller
   * closes its connection meanwhile.
   *
   * @param request the caller's request
   * @param work processes the request on the calling thread
   * @return the answer, and whether the caller has disconnected
   */
  static Completion run(HttpRequest<?> request, Supplier<Answer> work) {
    if (!(request instanceof NettyHttpRequest<?> netty)) {
      return new Completion(work.get(), false);
    }
    Channel channel = netty.getChannelHandlerContext().channel();
    Worker worker = new Worker(Thread.currentThread());
    ChannelFutureListener listener = closed -> worker.interrupt();
    channel.closeFuture().addListener(listener);
    try {
      return new Completion(work.get(), !channel.isActive());
    } finally {
      channel.closeFuture().removeListener(listener);
      worker.finish();
    }
  }

  /** The thread that processes one request; it can be interrupted only until it is finished. */
  private static final class Worker {
    private final Thread thread;
    private boolean isWorking = true;

    private Worker(Thread thread) {
      this.thread = thread;
    }

    private synchronized void interrupt() {
      if (isWorking) {
        thread.interrupt();
      }
    }

    private synchronized void finish() {
      isWorking = false;
      Thread.interrupted();
    }
  }
}
