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

/** Reads statements from a terminal, with history and completion. */
final class Shell {
  private static final String PROMPT = "lycheejunction> ";

  private final Terminal terminal;
  private final LineReader reader;
  private final Runner runner;

  private Shell(Terminal terminal, Runner runner) {
    this.terminal = Objects.requireNonNull(terminal, "terminal is null");
    this.runner = Objects.requireNonNull(runner, "runner is null");
    this.reader =
        LineReaderBuilder.builder()
            .terminal(terminal)
            .completer((read, line, candidates) -> complete(line, candidates))
            .build();
  }

  /**
   * Returns a shell on the program's terminal.
   *
   * @param runner runs the statements
   * @return the shell
   * @throws IOException if there is no terminal
   */
  static Shell open(Runner runner) throws IOException {
    return new Shell(TerminalBuilder.builder().system(true).exec(false).dumb(true).build(), runner);
  }

  /**
   * Returns the exit code of the last statement once the input ends.
   *
   * @return the exit code
   * @throws IOException if the terminal cannot be closed
   */
  int loop() throws IOException {
    int exitCode = Runner.EXIT_DONE;
    try (terminal) {
      while (true) {
        String line = reader.readLine(PROMPT).strip();
        if (line.equals("exit") || line.equals("quit")) {
          return exitCode;
        }
        if (line.equals("help")) {
          terminal.writer().print(Help.PAGE);
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
    String beginning = line.line().substring(0, line.cursor() - line.wordCursor());
    Completions.after(beginning, line.word().substring(0, line.wordCursor()))
        .forEach(word -> candidates.add(new Candidate(word)));
  }
}
