package io.lycheejunction.proxy.caller;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.function.Supplier;

/** Interrupts the work for callers that close their connection before the answer. */
final class HangUps {

  private HangUps() {}

  /**
   * What became of a request's work.
   *
   * @param answer the answer
   * @param isGone true if the caller closed its connection before the answer was there
   */
  record Outcome(Answer answer, boolean isGone) {}

  /**
   * Returns the answer of the work, which is interrupted when the caller hangs up.
   *
   * @param request the caller's request
   * @param work gives the answer
   * @return the answer, and whether the caller is gone
   */
  static Outcome guard(HttpRequest<?> request, Supplier<Answer> work) {
    if (!(request instanceof NettyHttpRequest<?> netty)) {
      return new Outcome(work.get(), false);
    }
    Channel channel = netty.getChannelHandlerContext().channel();
    Worker worker = new Worker(Thread.currentThread());
    ChannelFutureListener listener = closed -> worker.interrupt();
    channel.closeFuture().addListener(listener);
    try {
      return new Outcome(work.get(), !channel.isActive());
    } finally {
      channel.closeFuture().removeListener(listener);
      worker.finish();
    }
  }

  /** The thread that works for one request; it is not interrupted after that. */
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
