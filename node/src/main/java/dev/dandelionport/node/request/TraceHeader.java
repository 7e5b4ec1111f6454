package dev.dandelionport.node.request;

import com.linecorp.armeria.common.RequestHeaders;
import java.util.regex.Pattern;

/** Reads the W3C trace context from the headers of a request. */
final class TraceHeader {

  private static final Pattern VALID = Pattern.compile("00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}");

  private TraceHeader() {}

  /** Returns the trace context, or an empty string if it is missing or malformed. */
  static String read(RequestHeaders headers) {
    String h = headers.get("traceparent", "");
    return VALID.matcher(h).matches() ? h : "";
  }
}
