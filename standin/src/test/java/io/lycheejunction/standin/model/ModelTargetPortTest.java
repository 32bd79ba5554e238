package io.lycheejunction.standin.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.clock.ManualClock;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.PlatformTable.PutOutcome;
import io.lycheejunction.core.port.PlatformTable.Row;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.standin.model.FaultInjector.Call;
import io.lycheejunction.standin.model.FaultInjector.FaultAction;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ModelTargetPortTest {
  private static final TargetSpec A = new TargetSpec("a", "ikeja", "127.0.0.1:1");
  private static final TargetSpec B = new TargetSpec("b", "lekki", "127.0.0.1:2");
  private static final TargetRequest APPEND =
      new TargetRequest("1", 1, Access.WRITE, "append o k 1", Optional.empty(), 100);

  private final ManualClock clock = ManualClock.advancing();
  private final Links links = new Links(3);
  private final GroupModel group =
      new GroupModel("g", List.of(A, B), ModelLimits.NONE, links, clock);
  private FaultAction before = FaultAction.PASS;
  private FaultAction after = FaultAction.PASS;
  private final FaultInjector faults =
      new FaultInjector() {
        @Override
        public FaultAction before(Call call) {
          return before;
        }

        @Override
        public FaultAction after(Call call) {
          return after;
        }
      };
  private final ModelTargetPort port =
      new ModelTargetPort("ikeja", List.of(group), links, faults, clock);

  private static Fault fault(Result<?> result) {
    return result.fold(fault -> fault, value -> null);
  }

  private TargetConnection open() {
    return port.openSession(A, 100).getOrElse(null);
  }

  @Nested
  class Status {
    @Test
    void shouldReportRefusedConnectionWhenInstanceHasCrashed() {
      group.faults().crash("a");
      Fault fault = fault(port.status(A, 100));
      assertEquals(ResultCode.TARGET_UNREACHABLE, fault.code());
      assertTrue(fault.detail().startsWith("refused"));
      assertEquals(0, clock.monotonicMs());
    }

    @Test
    void shouldFailAtTimeoutWhenLinkIsCut() {
      links.cut("ikeja", "lekki");
      Fault fault = fault(port.status(B, 100));
      assertEquals(ResultCode.TARGET_UNREACHABLE, fault.code());
      assertFalse(fault.detail().startsWith("refused"));
      assertEquals(100, clock.monotonicMs());
    }

    @Test
    void shouldTakeRoundTripDelayWhenDomainsDiffer() {
      assertFalse(port.status(B, 100).isEmpty());
      assertEquals(6, clock.monotonicMs());
    }
  }

  @Nested
  class AwaitReceived {
    @Test
    void shouldReturnWhenEntryIsReceived() {
      TargetReply.Answered write = (TargetReply.Answered) open().execute(APPEND);
      assertEquals(
          write.position(),
          port.awaitReceived(B, write.position(), 100).map(s -> s.received()).getOrElse(null));
      assertEquals(6, clock.monotonicMs());
    }
  }

  @Nested
  class Execute {
    @Test
    void shouldTakeEffectWhenReplyIsLost() {
      TargetConnection connection = open();
      after = new FaultAction.LoseReply();
      assertInstanceOf(TargetReply.Unknown.class, connection.execute(APPEND));
      assertFalse(connection.isUsable());
      assertEquals(1, group.ledger("a", "o").size());
    }

    @Test
    void shouldNotTakeEffectWhenRequestIsLost() {
      TargetConnection connection = open();
      before = new FaultAction.LoseRequest();
      assertInstanceOf(TargetReply.Unknown.class, connection.execute(APPEND));
      assertEquals(0, group.ledger("a", "o").size());
    }

    @Test
    void shouldTakeEffectTwiceWhenRequestIsDuplicated() {
      TargetConnection connection = open();
      before = new FaultAction.Duplicate();
      assertInstanceOf(TargetReply.Answered.class, connection.execute(APPEND));
      assertEquals(2, group.ledger("a", "o").size());
    }

    @Test
    void shouldTakeEffectAfterResumeWhenPaused() {
      TargetConnection connection = open();
      group.faults().pause("a");
      assertInstanceOf(TargetReply.Unknown.class, connection.execute(APPEND));
      assertEquals(0, group.ledger("a", "o").size());
      group.faults().resume("a");
      assertEquals(1, group.ledger("a", "o").size());
    }

    @Test
    void shouldNotRunWhenInstanceWasRestarted() {
      TargetConnection connection = open();
      group.faults().crash("a");
      group.faults().restart("a");
      assertInstanceOf(TargetReply.NotRun.class, connection.execute(APPEND));
      assertFalse(connection.isUsable());
    }
  }

  @Nested
  class Platform {
    private final PlatformModel model = new PlatformModel();
    private final ModelPlatformClient platform =
        new ModelPlatformClient("ikeja", model, links, FaultInjector.NONE, clock);

    @Test
    void shouldWriteOnceWhenKeyIsAbsent() {
      assertEquals(
          Result.success(new PutOutcome.Written()), platform.putIfAbsent("t", new Row("1", "x")));
      assertEquals(
          Result.success(new PutOutcome.Exists("x")), platform.putIfAbsent("t", new Row("1", "y")));
    }

    @Test
    void shouldWriteRowWhenReplyIsLost() {
      model.loseReplies(1);
      assertEquals(
          ResultCode.STORE_UNKNOWN, fault(platform.putIfAbsent("t", new Row("1", "x"))).code());
      assertEquals(Optional.of(new Row("1", "x")), platform.get("t", "1").getOrElse(null));
    }

    @Test
    void shouldFailWhenPlatformIsDownOrCut() {
      model.setDown(true);
      assertEquals(
          ResultCode.STORE_UNAVAILABLE, fault(platform.putIfAbsent("t", new Row("1", ""))).code());
      model.setDown(false);
      links.cutPlatform("ikeja");
      assertEquals(ResultCode.STORE_UNAVAILABLE, fault(platform.scan("t", "", 9)).code());
      assertEquals(Optional.empty(), model.row("t", "1"));
    }
  }
}
