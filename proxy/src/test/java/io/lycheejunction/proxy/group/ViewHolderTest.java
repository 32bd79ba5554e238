package io.lycheejunction.proxy.group;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.term.LogPosition;
import java.util.Optional;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Checks {@link ViewHolder} for linearizability. */
@Param(name = "term", gen = IntGen.class, conf = "1:3")
public class ViewHolderTest {
  private final ViewHolder holder = new ViewHolder("orders");

  /** Merges a view of the given term and returns the resulting term. */
  @Operation
  public long merge(@Param(name = "term") int term) {
    GroupView view =
        new GroupView("orders", term, Optional.of("t-" + term), new LogPosition(term, 1));
    return holder.merge(view).term();
  }

  /** Returns the term and the primary. */
  @Operation
  public String get() {
    GroupView view = holder.get();
    return view.term() + view.primary().orElse("");
  }

  @Test
  void shouldBeLinearizableWhenMergedAndReadConcurrently() {
    new ModelCheckingOptions()
        .iterations(20)
        .invocationsPerIteration(500)
        .threads(2)
        .actorsPerThread(3)
        .check(getClass());
  }
}
