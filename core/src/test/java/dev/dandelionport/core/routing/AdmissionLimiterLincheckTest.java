package dev.dandelionport.core.routing;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.testing.FixedTime;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Fails if two requests of a team that arrive concurrently are admitted with the same token. */
public class AdmissionLimiterLincheckTest {

  private static final int PER_SECOND = 2;

  private final AdmissionLimiter limiter = new AdmissionLimiter(new FixedTime());

  /** Submits a request of one of two teams and returns whether it is admitted. */
  @Operation
  public boolean admit(@Param(gen = IntGen.class, conf = "1:2") int team) {
    return limiter.admit(new TeamId("team-" + team), PER_SECOND);
  }

  @Test
  void admissionsAreLinearizable() {
    new ModelCheckingOptions()
        .iterations(20)
        .invocationsPerIteration(200)
        .threads(2)
        .actorsPerThread(3)
        .check(AdmissionLimiterLincheckTest.class);
  }
}
