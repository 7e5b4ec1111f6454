package dev.dandelionport.core.port;

/** Records trace spans; {@link #NONE} records nothing. */
public interface Tracing {

  /** Records nothing and passes on the parent's context. */
  Tracing NONE =
      (name, traceparent) ->
          new Span() {
            @Override
            public String traceparent() {
              return traceparent;
            }

            @Override
            public void end(boolean ok) {}
          };

  /**
   * Starts a span.
   *
   * @param name name of the span: entry, owner, commit, start or result
   * @param traceparent W3C trace context of the parent, or empty for a new trace
   */
  Span start(String name, String traceparent);

  /** A span that has not ended. */
  interface Span {
    /** Returns the W3C trace context to pass to the next component. */
    String traceparent();

    /** Ends the span. */
    void end(boolean ok);
  }
}
