package dev.dandelionport.node.request;

import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reads query parameters and rejects unknown or repeated ones. */
final class QueryParameters {

  private static final int MAX_DIGITS = 9;

  private final QueryParams params;

  QueryParameters(ServiceRequestContext ctx, Set<String> allowed) {
    params = ctx.queryParams();
    for (String name : params.names()) {
      if (!allowed.contains(name)) {
        String list =
            allowed.isEmpty() ? "none" : String.join(", ", allowed.stream().sorted().toList());
        throw RequestException.invalid(
            name.length() > 64 ? name.substring(0, 64) : name,
            "is not a known query parameter; allowed: " + list);
      }
    }
  }

  String text(String name) {
    return singleValue(name).orElse("");
  }

  long number(String name, long max) {
    String s = singleValue(name).orElse("0");
    boolean digits =
        !s.isEmpty() && s.length() <= MAX_DIGITS && s.chars().allMatch(c -> c >= '0' && c <= '9');
    if (!digits || Long.parseLong(s) > max) {
      throw RequestException.invalid(name, name + " must be a whole number from 0 to " + max);
    }
    return Long.parseLong(s);
  }

  private Optional<String> singleValue(String name) {
    List<String> all = params.getAll(name);
    if (all.size() > 1) {
      throw RequestException.invalid(name, name + " must be given at most once");
    }
    return all.stream().findFirst();
  }
}
