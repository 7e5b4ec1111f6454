package dev.dandelionport.node.process;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.util.ServiceLoader;
import org.junit.jupiter.api.Test;

/** Checks the logging configuration that an instance starts with. */
class JsonLogConfiguratorTest {

  // Guards against a process that logs plain text, because Logback does not find the configuration.
  @Test
  void logbackFindsTheConfiguration() {
    assertThat(ServiceLoader.load(Configurator.class))
        .hasAtLeastOneElementOfType(JsonLogConfigurator.class);
  }

  // Guards against lines that log tools cannot parse, and libraries that fill the log.
  @Test
  void rootLoggerWritesJsonLinesAndLibrariesOnlyWarn() {
    LoggerContext context = new LoggerContext();
    assertThat(new JsonLogConfigurator().configure(context))
        .isEqualTo(Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY);
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    ConsoleAppender<ILoggingEvent> console =
        (ConsoleAppender<ILoggingEvent>) root.getAppender("STDOUT");
    assertThat(console.isStarted()).isTrue();
    assertThat((Encoder<?>) console.getEncoder()).isInstanceOf(JsonLineEncoder.class);
    assertThat(root.getLevel()).isEqualTo(Level.INFO);
    assertThat(context.getLogger("com.linecorp.armeria.x").getEffectiveLevel())
        .isEqualTo(Level.WARN);
    assertThat(context.getLogger("io.netty.x").getEffectiveLevel()).isEqualTo(Level.WARN);
    assertThat(context.getLogger("io.micrometer.x").getEffectiveLevel()).isEqualTo(Level.ERROR);
  }
}
