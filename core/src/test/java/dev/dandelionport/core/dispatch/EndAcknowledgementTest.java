package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndAcknowledgementTest {

  // Guards against a runner that lists the same ends for ever and so none of the later ones: its
  // acknowledgement counted as sent because a delayed answer of its previous incarnation had
  // acknowledged the same number.
  @Test
  void endsThatAreListedAgainAreAcknowledgedAgain() {
    EndAcknowledgement ends = new EndAcknowledgement();
    ends.reported(500);
    assertThat(ends.awaitsJournal()).isTrue();
    ends.durable(500);
    assertThat(ends.numberToSend()).isEqualTo(500);
    ends.acknowledged(500);
    assertThat(ends.numberToSend()).isZero();
    ends.reported(500);
    assertThat(ends.numberToSend()).isEqualTo(500);
  }
}
