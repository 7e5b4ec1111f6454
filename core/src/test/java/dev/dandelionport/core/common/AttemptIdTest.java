package dev.dandelionport.core.common;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AttemptIdTest {

  /** Fails if a request key that contains the separators of the text form is parsed incorrectly. */
  @Test
  void parsesItsOwnTextWhateverTheRequestKeyContains() {
    JobKey job = new JobKey(new TeamId("desk"), "a/b#1.2");
    AttemptId a = new AttemptId(job, 3, 4);
    assertThat(AttemptId.parse(a.toString())).isEqualTo(a);
  }
}
