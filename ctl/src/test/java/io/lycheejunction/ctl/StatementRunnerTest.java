package io.lycheejunction.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StatementRunnerTest {
  private static final HttpReply LOST = new HttpReply.Lost("reset");
  private static final HttpReply REFUSED = new HttpReply.NotSent(true, "refused");

  private final List<OperatorRequest> sent = new ArrayList<>();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private static HttpReply done() {
    return new HttpReply.Answer(200, Json.write(OperatorReply.done("fine")));
  }

  private static HttpReply fault(ResultCode code) {
    return new HttpReply.Answer(
        code.httpStatus(),
        Json.write(OperatorReply.failed(Fault.of(code, "why"), Optional.empty())));
  }

  private int run(String statement, HttpReply... replies) {
    List<HttpReply> remainingReplies = new ArrayList<>(List.of(replies));
    ProxyTransport transport =
        (address, body) -> {
          sent.add(Json.read(body, OperatorRequest.class).getOrElse(null));
          return remainingReplies.removeFirst();
        };
    RunOptions options =
        new RunOptions(false, false, false, Optional.empty(), Optional.empty(), () -> "id-1");
    OperatorClient client =
        new OperatorClient(transport, List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"));
    return new StatementRunner(
            client,
            options,
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8))
        .run(statement);
  }

  @Nested
  class Run {
    @Test
    void shouldPrintAnswerWhenDone() {
      assertEquals(StatementRunner.EXIT_DONE, run("show config", done()));
      assertEquals("fine\n", out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void shouldMarkColumnWhenStatementHasSyntaxError() {
      assertEquals(StatementRunner.EXIT_REFUSED, run("show confg"));
      assertTrue(
          err.toString(StandardCharsets.UTF_8).startsWith("show confg\n     ^\ncolumn 6: expected"),
          err.toString(StandardCharsets.UTF_8));
      assertEquals(List.of(), sent);
    }

    @Test
    void shouldRetryWithSameIdentifierWhenReplyOfChangeIsLost() {
      assertEquals(StatementRunner.EXIT_DONE, run("drain target a1", LOST, done()));
      assertEquals(2, sent.size());
      assertEquals(Optional.of("id-1"), sent.get(0).changeId());
      assertEquals(Optional.of("id-1"), sent.get(1).changeId());
    }

    @Test
    void shouldReportUnknownOutcomeWhenOtherProxiesAreInconclusive() {
      int exitCode = run("drain target a1", LOST, fault(ResultCode.STORE_UNAVAILABLE), REFUSED);
      assertEquals(StatementRunner.EXIT_UNKNOWN, exitCode);
      assertTrue(err.toString(StandardCharsets.UTF_8).contains("show change id-1"));
    }

    @Test
    void shouldNotRetryWhenReplyOfPromotionIsLost() {
      assertEquals(StatementRunner.EXIT_UNKNOWN, run("promote a1", LOST));
      assertEquals(1, sent.size());
    }

    @Test
    void shouldTryNextProxyWhenPromotionWasNotSent() {
      assertEquals(StatementRunner.EXIT_DONE, run("promote a1", REFUSED, done()));
    }

    @Test
    void shouldNotTryNextProxyWhenChangeIsRefused() {
      assertEquals(
          StatementRunner.EXIT_REFUSED, run("drain target a1", fault(ResultCode.INVALID_CHANGE)));
    }
  }

  @Nested
  class Completion {
    @Test
    void shouldOfferKeywordsWhenPrefixFits() {
      assertEquals(List.of("config"), Completions.keywordsAfter("show ", "co"));
      assertEquals(List.of("group", "service"), Completions.keywordsAfter("create ", ""));
      assertEquals(List.of(), Completions.keywordsAfter("create group ", ""));
    }
  }
}
