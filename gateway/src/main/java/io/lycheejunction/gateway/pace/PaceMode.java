package io.lycheejunction.gateway.pace;

/** Whether the statements in progress at a target are limited. */
public enum PaceMode {
  /** Only the connections limit the statements in progress. */
  OFF,
  /** The limit follows the answers of the target. */
  OBSERVED;

  /**
   * Parses the value of the setting.
   *
   * @param text {@code observed} or {@code off}
   * @return the mode
   * @throws IllegalArgumentException if the text is neither
   */
  public static PaceMode parse(String text) {
    return switch (text) {
      case "observed" -> OBSERVED;
      case "off" -> OFF;
      default -> throw new IllegalArgumentException("must be observed or off but is " + text);
    };
  }
}
