package dev.dandelionport.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * TCP relay on loopback that can freeze its established connections permanently while new ones
 * still work. A frozen connection stays open and forwards nothing in either direction.
 */
public final class FreezingRelay implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 << 10;

  private final ServerSocket server;
  private final InetSocketAddress target;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private final AtomicInteger accepted = new AtomicInteger();

  private static final class Link {
    final Socket clientSide;
    final Socket targetSide;
    volatile boolean frozen;

    Link(Socket clientSide, Socket targetSide) {
      this.clientSide = clientSide;
      this.targetSide = targetSide;
    }

    void close() {
      for (Socket s : new Socket[] {clientSide, targetSide}) {
        try {
          s.close();
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
      }
    }
  }

  /** Creates a relay to {@code targetPort} on loopback and starts it. */
  public FreezingRelay(int targetPort) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    target = new InetSocketAddress(loopback, targetPort);
    try {
      server = new ServerSocket(0, 0, loopback);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    run(this::accept);
  }

  /** Returns the port to connect to instead of the target port. */
  public int port() {
    return server.getLocalPort();
  }

  /** Returns the number of connections accepted so far. */
  public int accepted() {
    return accepted.get();
  }

  /** Freezes all current connections permanently. */
  public void freeze() {
    links.forEach(l -> l.frozen = true);
  }

  private static void run(Runnable r) {
    Thread t = new Thread(r, "relay");
    t.setDaemon(true);
    t.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket clientSide = server.accept();
        Socket targetSide = new Socket(target.getAddress(), target.getPort());
        clientSide.setTcpNoDelay(true);
        targetSide.setTcpNoDelay(true);
        Link link = new Link(clientSide, targetSide);
        links.add(link);
        accepted.incrementAndGet();
        run(() -> copy(link, clientSide, targetSide));
        run(() -> copy(link, targetSide, clientSide));
      } catch (IOException e) {
        // The relay was closed or the target refused the connection; accept the next one.
        Thread.yield();
      }
    }
  }

  private void copy(Link link, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int n = in.read(buffer);
      while (n >= 0) {
        if (!link.frozen) {
          out.write(buffer, 0, n);
        }
        n = in.read(buffer);
      }
      closeUnlessFrozen(link);
    } catch (IOException e) {
      closeUnlessFrozen(link);
    }
  }

  /** Closes both sides of a connection, unless it is frozen. */
  private void closeUnlessFrozen(Link link) {
    if (!link.frozen) {
      links.remove(link);
      link.close();
    }
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    links.forEach(Link::close);
  }
}
