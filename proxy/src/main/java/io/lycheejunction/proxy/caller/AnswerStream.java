package io.lycheejunction.proxy.caller;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.lycheejunction.common.json.Json;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;

/** The JSON text of an answer, encoded one row at a time as it is read; used by one thread. */
final class AnswerStream extends InputStream {
  private static final byte[] TAIL = "]}".getBytes(StandardCharsets.UTF_8);

  private final Iterator<String> rows;
  private byte[] chunk;
  private int offsetBytes;
  private boolean isFirstRow = true;
  private boolean isEnded;

  /**
   * Creates the text of an answer.
   *
   * @param head the fields before the rows
   * @param rows the rows
   */
  AnswerStream(AnswerHead head, List<String> rows) {
    Objects.requireNonNull(head, "head is null");
    this.rows = rows.iterator();
    String object = Json.write(head);
    String opened = object.substring(0, object.length() - 1) + ",\"rows\":[";
    this.chunk = opened.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public int read() {
    return hasMore() ? chunk[offsetBytes++] & 0xff : -1;
  }

  @Override
  public int read(byte[] buffer, int offset, int length) {
    Objects.checkFromIndexSize(offset, length, buffer.length);
    int copied = 0;
    while (copied < length && hasMore()) {
      int size = Math.min(length - copied, chunk.length - offsetBytes);
      System.arraycopy(chunk, offsetBytes, buffer, offset + copied, size);
      offsetBytes += size;
      copied += size;
    }
    return copied == 0 && length > 0 ? -1 : copied;
  }

  private boolean hasMore() {
    if (offsetBytes < chunk.length) {
      return true;
    }
    if (isEnded) {
      return false;
    }
    chunk = next();
    offsetBytes = 0;
    return true;
  }

  private byte[] next() {
    if (!rows.hasNext()) {
      isEnded = true;
      return TAIL;
    }
    StringBuilder text = new StringBuilder(isFirstRow ? "\"" : ",\"");
    isFirstRow = false;
    JsonStringEncoder.getInstance().quoteAsString(rows.next(), text);
    return text.append('"').toString().getBytes(StandardCharsets.UTF_8);
  }
}
