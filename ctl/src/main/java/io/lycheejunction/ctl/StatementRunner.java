package io.lycheejunction.ctl;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.core.language.ConditionalStatement;
import io.lycheejunction.core.language.OperatorLanguage;
import io.lycheejunction.core.language.OperatorLanguage.Parsed;
import io.lycheejunction.core.language.Statement;
import io.lycheejunction.core.language.SyntaxError;
import io.lycheejunction.core.result.Outcome;
import java.io.PrintStream;
import java.util.Objects;
import java.util.Optional;

/** Runs one statement and prints its answer. */
final class StatementRunner {
  static final int EXIT_DONE = 0;
  static final int EXIT_REFUSED = 1;
  static final int EXIT_UNKNOWN = 3;

  private final OperatorClient client;
  private final RunOptions options;
  private final PrintStream out;
  private final PrintStream err;

  StatementRunner(OperatorClient client, RunOptions options, PrintStream out, PrintStream err) {
    this.client = Objects.requireNonNull(client, "client is null");
    this.options = Objects.requireNonNull(options, "options is null");
    this.out = Objects.requireNonNull(out, "out is null");
    this.err = Objects.requireNonNull(err, "err is null");
  }

  /**
   * Returns the exit code of a statement after printing its answer.
   *
   * @param text the text of the statement
   * @return the exit code
   */
  int run(String text) {
    return switch (OperatorLanguage.parse(text)) {
      case Parsed.Complete(ConditionalStatement input) -> send(text, input.statement());
      case Parsed.Invalid(SyntaxError error) -> {
        printError(text, error);
        yield EXIT_REFUSED;
      }
    };
  }

  private void printError(String text, SyntaxError error) {
    err.println(text);
    err.println(" ".repeat(error.column() - 1) + "^");
    err.println(error.describe());
  }

  private int send(String text, Statement statement) {
    boolean isChange = statement instanceof Statement.Submit;
    Optional<String> changeId =
        isChange
            ? options.changeId().or(() -> Optional.of(options.newChangeId().get()))
            : Optional.empty();
    OperatorRequest request =
        new OperatorRequest(
            text, options.ifVersion(), changeId, options.dryRun(), options.awaitRollout());
    boolean idempotent = isChange || options.dryRun() || isQuery(statement);
    OperatorReply reply = client.send(request, idempotent);
    print(reply);
    return exitCode(reply.outcome());
  }

  private static boolean isQuery(Statement statement) {
    return statement instanceof Statement.Show || statement instanceof Statement.ShowChange;
  }

  private void print(OperatorReply reply) {
    if (options.json()) {
      out.println(Json.write(reply));
      return;
    }
    if (reply.outcome() == Outcome.DONE) {
      out.print(reply.text().endsWith("\n") ? reply.text() : reply.text() + "\n");
      return;
    }
    err.println(reply.code() + " " + reply.name() + ": " + reply.text());
    if (reply.outcome() == Outcome.OUTCOME_UNKNOWN && reply.changeId().isPresent()) {
      err.println("query the outcome with: show change " + reply.changeId().get());
    }
  }

  private static int exitCode(Outcome outcome) {
    return switch (outcome) {
      case DONE -> EXIT_DONE;
      case REFUSED_NOT_RUN -> EXIT_REFUSED;
      case OUTCOME_UNKNOWN -> EXIT_UNKNOWN;
    };
  }
}
