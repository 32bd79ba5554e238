package io.lycheejunction.gateway.link;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.target.Target;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Fake connections on which the test answers in place of the targets. */
public final class FakeLinks implements TargetLinkOpener {

  /** One connection; commands stay in {@code sent} until the test answers them. */
  public static final class FakeLink implements TargetLink {
    private final Target target;
    private final Optional<String> organisation;
    private final Listener listener;
    private final List<TargetCommand> sent = new ArrayList<>();
    private boolean closed;

    private FakeLink(Target target, Optional<String> organisation, Listener listener) {
      this.target = target;
      this.organisation = organisation;
      this.listener = listener;
    }

    /** Returns the identifier of the target. */
    public String targetId() {
      return target.id();
    }

    /** Returns the organisation that the target was told. */
    public Optional<String> organisation() {
      return organisation;
    }

    /** Returns the commands that have no answer yet. */
    public List<TargetCommand> unanswered() {
      return sent;
    }

    /** Returns whether the gateway has closed the connection. */
    public boolean isClosed() {
      return closed;
    }

    @Override
    public void send(List<TargetCommand> commands) {
      sent.addAll(commands);
    }

    @Override
    public void close() {
      closed = true;
    }

    /** Accepts the connection with a greeting. */
    public FakeLink greet() {
      listener.opened(successReply(TransactionState.NONE, new LogPosition(1, 1)));
      return this;
    }

    /** Rejects the connection with a fault. */
    public void reject(ResultCode code) {
      listener.opened(faultReply(code, TransactionState.NONE));
    }

    /** Answers the oldest unanswered command, which is returned. */
    public TargetCommand answer(LinkReply reply) {
      TargetCommand command = sent.removeFirst();
      listener.replied(reply);
      return command;
    }

    /** Answers the oldest unanswered command with success and returns the command. */
    public TargetCommand done(TransactionState state, long term, long offset) {
      return answer(successReply(state, new LogPosition(term, offset)));
    }

    /** Answers the oldest unanswered command with the status of a primary. */
    public TargetCommand statusOfPrimary(long term, long offset) {
      LogPosition position = new LogPosition(term, offset);
      return answer(
          new LinkReply(
              List.of(PRIMARY),
              Optional.of("signature"),
              Optional.empty(),
              TransactionState.NONE,
              Optional.of(position)));
    }

    /** Answers the oldest unanswered command with a fault and returns the command. */
    public TargetCommand fault(ResultCode code, TransactionState state) {
      return answer(faultReply(code, state));
    }

    /** Closes the connection from the target's side. */
    public void drop() {
      closed = true;
      listener.closed(Fault.of(ResultCode.TARGET_UNREACHABLE, "dropped"));
    }

    private static LinkReply successReply(TransactionState state, LogPosition position) {
      return new LinkReply(
          List.of("row"), Optional.of("signature"), Optional.empty(), state, Optional.of(position));
    }

    private static LinkReply faultReply(ResultCode code, TransactionState state) {
      return new LinkReply(
          List.of(),
          Optional.empty(),
          Optional.of(Fault.of(code, "fault reported by the target")),
          state,
          Optional.empty());
    }
  }

  private static final String PRIMARY = "primary";

  private final List<FakeLink> opened;
  private final boolean perOrganisation;

  /** Creates connections to targets, each of which serves one organisation. */
  public FakeLinks() {
    this(new ArrayList<>(), true);
  }

  private FakeLinks(List<FakeLink> opened, boolean perOrganisation) {
    this.opened = opened;
    this.perOrganisation = perOrganisation;
  }

  /** Returns an opener of connections between VMs, which are recorded with the others. */
  public FakeLinks betweenVms() {
    return new FakeLinks(opened, false);
  }

  @Override
  public TargetLink open(Target target, Optional<String> organisation, Listener listener) {
    FakeLink link = new FakeLink(target, organisation, listener);
    opened.add(link);
    return link;
  }

  @Override
  public boolean isPerOrganisation() {
    return perOrganisation;
  }

  @Override
  public Optional<StatusReport> statusOf(LinkReply reply) {
    boolean primary = reply.rows().contains(PRIMARY);
    return reply
        .position()
        .map(position -> new StatusReport(primary, position.term(), position, 1));
  }

  /** Returns all connections, in the order in which they were opened. */
  public List<FakeLink> opened() {
    return opened;
  }

  /** Returns the connections to a target that the gateway has not closed. */
  public List<FakeLink> to(String targetId) {
    return opened.stream()
        .filter(link -> link.targetId().equals(targetId) && !link.isClosed())
        .toList();
  }

  /** Returns the newest connection to a target. */
  public FakeLink last(String targetId) {
    return to(targetId).getLast();
  }
}
