package io.lycheejunction.ctl;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import org.jline.reader.Candidate;
import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.ParsedLine;
import org.jline.reader.UserInterruptException;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;

/** Interactive shell with history and completion of keywords. */
final class Shell {
  private static final String PROMPT = "lycheejunction> ";

  private final Terminal terminal;
  private final LineReader reader;
  private final StatementRunner runner;

  private Shell(Terminal terminal, StatementRunner runner) {
    this.terminal = Objects.requireNonNull(terminal, "terminal is null");
    this.runner = Objects.requireNonNull(runner, "runner is null");
    this.reader =
        LineReaderBuilder.builder()
            .terminal(terminal)
            .completer((lineReader, line, candidates) -> complete(line, candidates))
            .build();
  }

  /**
   * Returns a shell on the system terminal of the process.
   *
   * @param runner runs the statements
   * @return the shell
   * @throws IOException if the terminal cannot be opened
   */
  static Shell onSystemTerminal(StatementRunner runner) throws IOException {
    return new Shell(TerminalBuilder.builder().system(true).exec(false).dumb(true).build(), runner);
  }

  /**
   * Returns the exit code of the last statement at the end of the input.
   *
   * @return the exit code
   * @throws IOException if the terminal cannot be closed
   */
  int run() throws IOException {
    int exitCode = StatementRunner.EXIT_DONE;
    try (terminal) {
      while (true) {
        String line = reader.readLine(PROMPT).strip();
        if (line.equals("exit") || line.equals("quit")) {
          return exitCode;
        }
        if (line.equals("help")) {
          terminal.writer().print(Help.TEXT);
          terminal.flush();
        } else if (!line.isEmpty()) {
          exitCode = runner.run(line);
        }
      }
    } catch (UserInterruptException | EndOfFileException e) {
      return exitCode;
    }
  }

  private static void complete(ParsedLine line, List<Candidate> candidates) {
    String precedingText = line.line().substring(0, line.cursor() - line.wordCursor());
    Completions.keywordsAfter(precedingText, line.word().substring(0, line.wordCursor()))
        .forEach(word -> candidates.add(new Candidate(word)));
  }
}
