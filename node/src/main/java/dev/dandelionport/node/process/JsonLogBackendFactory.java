package dev.dandelionport.node.process;

import com.google.common.flogger.backend.LoggerBackend;
import com.google.common.flogger.backend.system.BackendFactory;

/** Makes Flogger log through {@link JsonLogBackend}; loaded by Java's service loader. */
public final class JsonLogBackendFactory extends BackendFactory {
  @Override
  public LoggerBackend create(String className) {
    return new JsonLogBackend(className);
  }
}
