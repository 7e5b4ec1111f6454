package dev.dandelionport.node.connection;

import com.linecorp.armeria.common.TlsKeyPair;
import com.linecorp.armeria.common.TlsProvider;
import java.io.IOException;
import java.nio.file.attribute.FileTime;
import java.util.List;

/**
 * Key pair of a server, reloaded when its files change. Existing connections keep the previous one.
 */
public final class ReloadedKeyPair implements TlsProvider {

  private final TlsFiles files;
  private List<FileTime> readTimes;
  private TlsKeyPair pair;

  /** Loads the key pair; throws {@link TlsException} if the files cannot be read. */
  public ReloadedKeyPair(TlsFiles files) {
    this.files = files;
    try {
      readTimes = files.modificationTimes();
      pair = read();
    } catch (IOException | RuntimeException e) {
      throw new TlsException("cannot read TLS files " + files, e);
    }
  }

  private TlsKeyPair read() {
    return TlsKeyPair.of(files.privateKey().toFile(), files.certificateChain().toFile());
  }

  @Override
  public synchronized TlsKeyPair keyPair(String hostname) {
    try {
      List<FileTime> now = files.modificationTimes();
      if (!now.equals(readTimes)) {
        TlsKeyPair changed = read();
        if (TlsFiles.keyPairMatches(changed)) {
          pair = changed;
          readTimes = now;
        }
      }
    } catch (IOException | RuntimeException e) {
      // The files may be inconsistent while they are replaced; the previous ones stay in use.
      readTimes = List.of();
    }
    return pair;
  }
}
