package io.lycheejunction.gateway.quota;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.organisation.Organisation;
import io.lycheejunction.gateway.organisation.Organisations;
import io.lycheejunction.gateway.organisation.Quota;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Decides whether operations of organisations may start on this VM.
 *
 * <p>An operation that this VM sends to targets uses a token. If there is none, it waits for a
 * short time while other holders are asked for tokens. An operation that another VM is to send to
 * targets uses a token there; here it is refused only while a refusal of the holder is remembered.
 */
public final class Quotas {
  /**
   * How long an operation waits for tokens of other holders, in milliseconds. It is the time limit
   * for the answer of a VM.
   */
  static final long WAIT_MS = 200;

  private static final EventLog LOG = EventLog.of(Quotas.class);

  private final Optional<QuotaAllowance> allowance;
  private final Scheduler scheduler;
  private final QuotaSlot slot;
  private final QuotaCounts counts = new QuotaCounts();
  private final RefusalCache refusals = new RefusalCache();
  private final Map<String, OrganisationQuota> organisations = new HashMap<>();
  private final QuotaRefill refill;
  private final RefusalLog log;
  private Organisations configured = Organisations.empty();
  private OptionalLong heldSinceMs = OptionalLong.empty();
  private int slots;

  /** The slots that the parts are computed with, for one window the larger of two numbers. */
  private int dividingSlots;

  /** Until then, a slot that is newly taken has no part, in milliseconds. */
  private long newSlotsFromMs = Long.MIN_VALUE;

  /**
   * Creates quotas that limit nothing until organisations are applied.
   *
   * @param allowance how far quotas may be exceeded, or empty if nothing is limited
   * @param scheduler the clock and the timers of the gateway's thread
   * @param slot tells whether this VM holds a slot
   * @param client asks other holders for tokens
   * @param otherHolders returns the names of the other holders
   */
  public Quotas(
      Optional<QuotaAllowance> allowance,
      Scheduler scheduler,
      QuotaSlot slot,
      QuotaClient client,
      Supplier<? extends Collection<String>> otherHolders) {
    this.allowance = Objects.requireNonNull(allowance, "allowance is null");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
    this.slot = Objects.requireNonNull(slot, "slot is null");
    this.refill = new QuotaRefill(scheduler, client, otherHolders, counts, this::onReceived);
    this.log = new RefusalLog(scheduler, () -> holdsSlot(scheduler.nowMs()));
  }

  /**
   * Returns quotas that limit nothing.
   *
   * @param scheduler the clock and the timers of the gateway's thread
   * @return the quotas
   */
  public static Quotas unlimited(Scheduler scheduler) {
    return new Quotas(
        Optional.empty(),
        scheduler,
        OptionalLong::empty,
        (vm, want, done) -> done.accept(Optional.empty()),
        List::of);
  }

  /**
   * Returns what the quotas have done.
   *
   * @return the counts
   */
  public QuotaCounts counts() {
    return counts;
  }

  /**
   * Applies the quotas of a configuration. The quota of an organisation that is no longer contained
   * stays, for operations that VMs with an older configuration forward.
   *
   * @param changed the organisations
   */
  public void apply(Organisations changed) {
    configured = Objects.requireNonNull(changed, "changed is null");
    applyAll();
  }

  /**
   * Sets the number of holder slots of all failure domains together.
   *
   * <p>VMs learn of a change at different times. For one window the parts are therefore those of
   * the larger number, and a slot that is newly taken after a rise has no part.
   *
   * @param count the number, at least 1
   */
  public void setSlots(int count) {
    if (count == slots || allowance.isEmpty()) {
      return;
    }
    if (count < 1) {
      throw new IllegalArgumentException("count must be at least 1 but is " + count);
    }
    long windowMs = allowance.get().windowMs();
    if (count > slots && slots > 0) {
      newSlotsFromMs = scheduler.nowMs() + windowMs;
    }
    LOG.info("quota_slots", "before", slots, "after", count, "window_ms", windowMs);
    dividingSlots = Math.max(dividingSlots, count);
    slots = count;
    if (count < dividingSlots) {
      scheduler.schedule(
          windowMs,
          () -> {
            if (slots == count) {
              dividingSlots = count;
              applyAll();
            }
          });
    }
    applyAll();
  }

  private void applyAll() {
    if (allowance.isEmpty() || dividingSlots == 0) {
      return;
    }
    long nowMs = scheduler.nowMs();
    holdsSlot(nowMs);
    for (String name : configured.names()) {
      Optional<Quota> quota = configured.find(name).flatMap(Organisation::quota);
      if (quota.isPresent()) {
        applyQuota(name, quota.get(), nowMs);
      } else {
        Optional.ofNullable(organisations.remove(name)).ifPresent(this::allowAll);
      }
    }
  }

  private void applyQuota(String name, Quota quota, long nowMs) {
    OrganisationQuota known = organisations.get(name);
    if (known == null) {
      organisations.put(
          name,
          new OrganisationQuota(
              name, quota, dividingSlots, allowance.orElseThrow(), counts, nowMs));
    } else {
      known.change(quota, dividingSlots, nowMs);
    }
  }

  private void allowAll(OrganisationQuota organisation) {
    while (!organisation.waiting().isEmpty()) {
      end(organisation.waiting().pollFirst(), new QuotaDecision.Allowed(QuotaPermit.none()));
    }
  }

  /** Notices that a slot was taken or lost; called at least once a second. */
  public void update() {
    holdsSlot(scheduler.nowMs());
  }

  /**
   * Drops all tokens, and answers that are not received yet, since the clock may have missed time.
   *
   * @param nowMs the time of the gateway's clock, in milliseconds
   */
  public void onClockGap(long nowMs) {
    if (!organisations.isEmpty()) {
      LOG.info("quota_tokens_dropped", "now_ms", nowMs, "organisations", organisations.size());
    }
    refill.discardAnswers();
    refusals.clear();
    organisations.values().forEach(organisation -> organisation.clear(nowMs));
  }

  /** Returns whether the buckets may be used; they start again when a slot is newly held. */
  private boolean holdsSlot(long nowMs) {
    OptionalLong sinceMs = slot.heldSinceMs();
    if (sinceMs.isEmpty()) {
      return false;
    }
    if (!sinceMs.equals(heldSinceMs)) {
      if (nowMs < newSlotsFromMs) {
        return false;
      }
      LOG.info(
          "quota_part_taken",
          "slot_since_ms",
          sinceMs.getAsLong(),
          "slots",
          dividingSlots,
          "organisations",
          organisations.size());
      heldSinceMs = sinceMs;
      organisations.values().forEach(organisation -> organisation.reset(nowMs));
    }
    return true;
  }

  /**
   * Decides whether an operation may start.
   *
   * @param name the organisation, or empty if the operation belongs to none
   * @param direct true if this VM sends the operation to targets, false if it forwards it
   * @param done is called once with the decision, at once or after a short time
   */
  public void admit(Optional<String> name, boolean direct, Consumer<QuotaDecision> done) {
    if (allowance.isEmpty() || name.isEmpty()) {
      done.accept(new QuotaDecision.Allowed(QuotaPermit.none()));
    } else if (direct) {
      admitDirect(name.get(), done);
    } else {
      admitForwarded(name.get(), done);
    }
  }

  private void admitForwarded(String name, Consumer<QuotaDecision> done) {
    long refusedForMs = refusals.refusedForMs(name, scheduler.nowMs());
    if (refusedForMs > 0) {
      counts.refusedByCache++;
      log.record(name);
      done.accept(refused(refusedForMs));
    } else {
      done.accept(new QuotaDecision.Allowed(QuotaPermit.none()));
    }
  }

  private void admitDirect(String name, Consumer<QuotaDecision> done) {
    long nowMs = scheduler.nowMs();
    OrganisationQuota organisation = organisations.get(name);
    if (organisation == null) {
      done.accept(new QuotaDecision.Allowed(QuotaPermit.none()));
      return;
    }
    boolean holdsSlot = holdsSlot(nowMs);
    organisation.recordDemand(nowMs);
    startWaiting(organisation, holdsSlot, nowMs);
    Optional<QuotaPermit> permit =
        organisation.waiting().isEmpty() ? organisation.take(holdsSlot, nowMs) : Optional.empty();
    if (permit.isPresent()) {
      if (organisation.isLow(holdsSlot, nowMs)) {
        refill.request(organisation, organisation.missing(holdsSlot, nowMs), false, nowMs);
      }
      counts.allowed++;
      done.accept(new QuotaDecision.Allowed(permit.get()));
      return;
    }
    waitForTokens(organisation, new OrganisationQuota.Waiter(done), holdsSlot, nowMs);
  }

  private void waitForTokens(
      OrganisationQuota organisation,
      OrganisationQuota.Waiter waiter,
      boolean holdsSlot,
      long nowMs) {
    if (organisation.waiting().size() >= OrganisationQuota.MAX_WAITING) {
      refuse(organisation, waiter, nowMs);
      return;
    }
    organisation.waiting().addLast(waiter);
    if (!refill.request(organisation, organisation.missing(holdsSlot, nowMs), false, nowMs)) {
      organisation.waiting().remove(waiter);
      refuse(organisation, waiter, nowMs);
      return;
    }
    scheduler.schedule(WAIT_MS, () -> onWaitedTooLong(organisation, waiter));
    long ownTokenMs = organisation.ownTokenMs(holdsSlot, nowMs);
    if (ownTokenMs < WAIT_MS) {
      scheduler.schedule(ownTokenMs, () -> startWaiting(organisation));
    }
  }

  private void startWaiting(OrganisationQuota organisation) {
    long nowMs = scheduler.nowMs();
    startWaiting(organisation, holdsSlot(nowMs), nowMs);
  }

  /** Starts the operations that wait, in their order, as far as there are tokens. */
  private void startWaiting(OrganisationQuota organisation, boolean holdsSlot, long nowMs) {
    while (!organisation.waiting().isEmpty()) {
      Optional<QuotaPermit> permit = organisation.take(holdsSlot, nowMs);
      if (permit.isEmpty()) {
        return;
      }
      counts.allowed++;
      end(organisation.waiting().pollFirst(), new QuotaDecision.Allowed(permit.get()));
    }
  }

  private void onWaitedTooLong(OrganisationQuota organisation, OrganisationQuota.Waiter waiter) {
    if (organisation.waiting().remove(waiter)) {
      refuse(organisation, waiter, scheduler.nowMs());
    }
  }

  private void onReceived(QuotaRefill.Received received) {
    long nowMs = scheduler.nowMs();
    OrganisationQuota organisation = received.organisation();
    boolean holdsSlot = holdsSlot(nowMs);
    organisation.receive(received.tokens(), holdsSlot, received.sentMs(), nowMs);
    startWaiting(organisation, holdsSlot, nowMs);
    if (!organisation.waiting().isEmpty()
        && !refill.request(organisation, organisation.missing(holdsSlot, nowMs), true, nowMs)) {
      while (!organisation.waiting().isEmpty()) {
        refuse(organisation, organisation.waiting().pollFirst(), nowMs);
      }
    }
  }

  private void refuse(OrganisationQuota organisation, OrganisationQuota.Waiter waiter, long nowMs) {
    counts.refused++;
    log.record(organisation.name());
    end(waiter, refused(organisation.retryAfterMs(holdsSlot(nowMs), nowMs)));
  }

  private static void end(OrganisationQuota.Waiter waiter, QuotaDecision decision) {
    if (!waiter.ended) {
      waiter.ended = true;
      waiter.done.accept(decision);
    }
  }

  private static QuotaDecision refused(long retryAfterMs) {
    return new QuotaDecision.Refused(
        new Fault(
            ResultCode.QUOTA_EXCEEDED, "the quota of the organisation is used up", retryAfterMs));
  }

  /**
   * Records the outcome of an operation that was forwarded.
   *
   * @param name the organisation, or empty if the operation belongs to none
   * @param fault why it failed, or empty if it ran
   */
  public void recordForwarded(Optional<String> name, Optional<Fault> fault) {
    if (allowance.isEmpty() || name.isEmpty()) {
      return;
    }
    fault
        .filter(refusal -> refusal.code() == ResultCode.QUOTA_EXCEEDED)
        .ifPresent(
            refusal ->
                refusals.recordRefusal(name.get(), refusal.retryAfterMs(), scheduler.nowMs()));
  }

  /**
   * Gives tokens to another holder. They are removed here first, so that they can't be used twice.
   *
   * @param want the tokens that it wants, by the name of the organisation
   * @return the tokens given, by the name of the organisation; without those that get none
   */
  public Map<String, Double> give(Map<String, Double> want) {
    Map<String, Double> given = new HashMap<>();
    long nowMs = scheduler.nowMs();
    if (holdsSlot(nowMs)) {
      want.forEach(
          (name, tokens) -> {
            OrganisationQuota organisation = organisations.get(name);
            double part = organisation == null ? 0 : organisation.give(tokens, nowMs);
            if (part > 0) {
              given.put(name, part);
              counts.tokensGiven += part;
            }
          });
    }
    return given;
  }
}
