package dev.dandelionport.cli;

import com.github.rvesse.airline.annotations.Option;
import java.util.List;
import java.util.stream.Stream;
import javax.net.ssl.SSLContext;

/**
 * Options of all commands that call instances. Keys are read from files or the environment, never
 * from arguments, which other users of the machine can list.
 */
public final class ApiOptions {

  static final String URL_VARIABLE = "DANDELIONPORT_URL";
  static final String KEY_VARIABLE = "DANDELIONPORT_KEY";
  static final String KEY_FILE_VARIABLE = "DANDELIONPORT_KEY_FILE";
  static final String CA_FILE_VARIABLE = "DANDELIONPORT_CA_FILE";
  static final String CERTIFICATE_FILE_VARIABLE = "DANDELIONPORT_CERTIFICATE_FILE";
  static final String CERTIFICATE_KEY_FILE_VARIABLE = "DANDELIONPORT_CERTIFICATE_KEY_FILE";
  private static final String DEFAULT_URL = "http://127.0.0.1:8080";

  @Option(
      name = "--url",
      description =
          "URLs of instances, separated by commas; the first that can be reached is called."
              + " Default: environment variable DANDELIONPORT_URL, or http://127.0.0.1:8080")
  private String url;

  @Option(
      name = "--key-file",
      description =
          "File with the key. Default: the file that DANDELIONPORT_KEY_FILE names, or the key in"
              + " DANDELIONPORT_KEY")
  private String keyFile;

  @Option(
      name = "--ca-file",
      description =
          "PEM file with the certificate authorities to trust for https://. Default: the file that"
              + " DANDELIONPORT_CA_FILE names, or the authorities of the Java installation")
  private String caFile;

  @Option(
      name = "--certificate-file",
      description =
          "PEM file with the client certificate, if the server asks for one. Default: the file that"
              + " DANDELIONPORT_CERTIFICATE_FILE names")
  private String certificateFile;

  @Option(
      name = "--certificate-key-file",
      description =
          "PEM file with the private key of the client certificate, PKCS #8 without password."
              + " Default: the file that DANDELIONPORT_CERTIFICATE_KEY_FILE names")
  private String certificateKeyFile;

  @Option(name = "--json", description = "Prints JSON")
  private boolean json;

  boolean json() {
    return json;
  }

  /** Returns whether --url or its environment variable is set, so that no default URL is used. */
  boolean hasExplicitUrl() {
    return url != null || System.getenv(URL_VARIABLE) != null;
  }

  List<String> urls() {
    String s = url != null ? url : System.getenv().getOrDefault(URL_VARIABLE, DEFAULT_URL);
    List<String> list =
        Stream.of(s.split(",")).map(String::trim).filter(x -> !x.isEmpty()).toList();
    if (list.isEmpty()) {
      throw new CommandException(ExitStatus.USAGE, "--url names no instance");
    }
    return list;
  }

  /** Returns the key, or an empty string if none is configured. */
  String key() {
    String file = optionOrVariable(keyFile, KEY_FILE_VARIABLE);
    return file == null
        ? System.getenv().getOrDefault(KEY_VARIABLE, "").trim()
        : KeyFiles.read(file).trim();
  }

  /** Returns the TLS context for {@code https://}, or null to use the Java runtime's default. */
  SSLContext tls() {
    return ClientTls.context(
        optionOrVariable(caFile, CA_FILE_VARIABLE),
        optionOrVariable(certificateFile, CERTIFICATE_FILE_VARIABLE),
        optionOrVariable(certificateKeyFile, CERTIFICATE_KEY_FILE_VARIABLE));
  }

  private static String optionOrVariable(String option, String variable) {
    return option != null ? option : System.getenv(variable);
  }

  ApiClient client() {
    return new ApiClient(urls(), key(), tls());
  }
}
