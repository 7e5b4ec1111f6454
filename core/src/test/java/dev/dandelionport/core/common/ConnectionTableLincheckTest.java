package dev.dandelionport.core.common;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/**
 * Fails if concurrent callers open two connections to one peer, or if a caller receives a
 * connection that was closed before its call.
 */
@Param(name = "peer", gen = IntGen.class, conf = "1:2")
public class ConnectionTableLincheckTest {

  private static final class Connection {
    final int number;
    volatile boolean open = true;

    Connection(int number) {
      this.number = number;
    }
  }

  private final Map<Integer, Connection> latest = new ConcurrentHashMap<>();
  private final ConnectionTable<Integer, Connection> table = new ConnectionTable<>(c -> c.open);

  private CompletableFuture<Connection> open(int peer) {
    // Connections are numbered per peer, because connections to different peers may be opened in
    // any order.
    Connection former = latest.get(peer);
    Connection c = new Connection(former == null ? 1 : former.number + 1);
    latest.put(peer, c);
    return CompletableFuture.completedFuture(c);
  }

  /** Returns the number of the connection to a peer. */
  @Operation
  public int get(@Param(name = "peer") int peer) {
    return table.get(peer, this::open).join().number;
  }

  /**
   * Closes the connection to a peer and removes it from the table, as the channel's close handler
   * does.
   */
  @Operation
  public void close(@Param(name = "peer") int peer) {
    Connection c = latest.get(peer);
    if (c != null) {
      c.open = false;
      table.removeClosed(peer);
    }
  }

  @Test
  void callsAreLinearizable() {
    new ModelCheckingOptions()
        .iterations(10)
        .invocationsPerIteration(60)
        .threads(2)
        .actorsPerThread(3)
        .check(ConnectionTableLincheckTest.class);
  }
}
