package io.lycheejunction.proxy.caller;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.lycheejunction.common.json.Json;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;

/** Streams an answer as JSON and encodes each row when it is read; not thread-safe. */
final class AnswerStream extends InputStream {
  private static final byte[] TAIL = "]}".getBytes(StandardCharsets.UTF_8);

  private final Iterator<String> rows;
  private byte[] chunk;
  private int offsetBytes;
  private boolean isFirstRow = true;
  private boolean isEnded;

  /**
   * Creates the stream of an answer.
   *
   * @param head the fields before the rows
   * @param rows the rows, in order
   */
  AnswerStream(AnswerHead head, List<String> rows) {
    Objects.requireNonNull(head, "head is null");
    this.rows = rows.iterator();
    String json = Json.write(head);
    String prefix = json.substring(0, json.length() - 1) + ",\"rows\":[";
    this.chunk = prefix.getBytes(StandardCharsets.UTF_8);
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
    chunk = nextChunk();
    offsetBytes = 0;
    return true;
  }

  private byte[] nextChunk() {
    if (!rows.hasNext()) {
      isEnded = true;
      return TAIL;
    }
    StringBuilder row = new StringBuilder(isFirstRow ? "\"" : ",\"");
    isFirstRow = false;
    JsonStringEncoder.getInstance().quoteAsString(rows.next(), row);
    return row.append('"').toString().getBytes(StandardCharsets.UTF_8);
  }
}
