package dev.dandelionport.node.process;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import ch.qos.logback.core.status.NopStatusListener;
import org.slf4j.Logger;

/**
 * Configures Logback to write JSON lines to the standard output; loaded by Java's service loader. A
 * configuration in code spares each start the XML parser and Logback's reflection. The system
 * property {@code logback.configurationFile} still names a file that replaces it.
 */
public final class JsonLogConfigurator extends ContextAwareBase implements Configurator {

  private static final String FILE_PROPERTY = "logback.configurationFile";

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    if (System.getProperty(FILE_PROPERTY) != null) {
      return ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
    // Without this, Logback prints its own status in plain text when something is wrong.
    context.getStatusManager().add(new NopStatusListener());
    JsonLineEncoder encoder = new JsonLineEncoder();
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setName("STDOUT");
    console.setEncoder(encoder);
    console.start();
    context.getLogger("com.linecorp.armeria").setLevel(Level.WARN);
    context.getLogger("io.netty").setLevel(Level.WARN);
    // Servers that share a thread pool register its meters twice; nothing reads them.
    context.getLogger("io.micrometer").setLevel(Level.ERROR);
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(console);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
