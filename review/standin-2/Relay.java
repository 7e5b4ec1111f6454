package review2;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes TCP connections on to a port, and can be cut, in one direction or both. */
final class Relay {

  private final ServerSocket server;
  private final int target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  /** Whether a cut leaves the way to the target open on connections that exist. */
  private volatile boolean oneWay;

  Relay(int target) throws Exception {
    this.target = target;
    this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    thread(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Begins a cut: bytes that arrive are lost, new connections get no answer. */
  void cut() {
    oneWay = false;
    cut = true;
  }

  /** Begins a cut in which only what the target sends is lost; new connections get no answer. */
  void cutAnswers() {
    oneWay = true;
    cut = true;
  }

  /** Ends the cut; the connections that it has harmed are closed, new ones work. */
  void heal() throws Exception {
    for (Socket s : sockets) {
      s.close();
    }
    sockets.clear();
    cut = false;
  }

  private static void thread(Runnable r) {
    Thread t = new Thread(r);
    t.setDaemon(true);
    t.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket in = server.accept();
        sockets.add(in);
        if (!cut) {
          in.setTcpNoDelay(true);
          Socket out = new Socket("127.0.0.1", target);
          out.setTcpNoDelay(true);
          sockets.add(out);
          thread(() -> pass(in, out, true));
          thread(() -> pass(out, in, false));
        }
      } catch (Exception e) {
        if (server.isClosed()) {
          return;
        }
      }
    }
  }

  private void pass(Socket from, Socket to, boolean toTarget) {
    byte[] buffer = new byte[65_536];
    try (from;
        to) {
      InputStream i = from.getInputStream();
      OutputStream o = to.getOutputStream();
      for (int n = i.read(buffer); n >= 0; n = i.read(buffer)) {
        if (!cut || oneWay && toTarget) {
          o.write(buffer, 0, n);
        }
      }
      while (cut) {
        Thread.sleep(10);
      }
    } catch (Exception e) {
      // One of the ends has closed the connection.
    } finally {
      sockets.remove(from);
      sockets.remove(to);
    }
  }
}
