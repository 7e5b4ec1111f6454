package dev.dandelionport.core.common;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Encodes and decodes stored values as JSON, so that operators can read them in the store. */
public final class JsonCodec {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private JsonCodec() {}

  /** Encodes {@code value}. */
  public static byte[] encode(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode " + value.getClass().getName(), e);
    }
  }

  /** Decodes a value of {@code type}; fails with {@link IllegalArgumentException}. */
  public static <T> T decode(byte[] bytes, Class<T> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException e) {
      throw new IllegalArgumentException("cannot decode " + type.getSimpleName(), e);
    }
  }
}
