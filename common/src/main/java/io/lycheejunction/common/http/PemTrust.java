package io.lycheejunction.common.http;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedTrustManager;

/**
 * Trust manager that accepts certificates signed by the trusted certificates of a PEM file.
 *
 * <p>The file can be reloaded while TLS contexts use the trust manager.
 */
public final class PemTrust extends X509ExtendedTrustManager {
  private static final EventLog LOG = EventLog.of(PemTrust.class);

  private final Path file;
  private byte[] content;
  private volatile X509ExtendedTrustManager delegate;

  private PemTrust(Path file, byte[] content) throws GeneralSecurityException, IOException {
    this.file = file;
    this.content = content;
    this.delegate = createTrustManager(content);
  }

  /**
   * Returns a trust manager for the certificates of a file.
   *
   * @param file the PEM file
   * @return the trust manager, or {@code BAD_SETTING} if the file cannot be read or has no valid
   *     certificate
   */
  public static Result<PemTrust> of(Path file) {
    try {
      return Result.success(new PemTrust(file, Files.readAllBytes(file)));
    } catch (IOException | GeneralSecurityException e) {
      return Result.failure(
          ResultCode.BAD_SETTING, file + " cannot be read as a PEM file of certificates");
    }
  }

  private static X509ExtendedTrustManager createTrustManager(byte[] pem)
      throws GeneralSecurityException, IOException {
    KeyStore store = KeyStore.getInstance("PKCS12");
    store.load(null, null);
    int count = 0;
    for (Certificate certificate :
        CertificateFactory.getInstance("X.509")
            .generateCertificates(new ByteArrayInputStream(pem))) {
      store.setCertificateEntry("trusted-" + count++, certificate);
    }
    if (count == 0) {
      throw new CertificateException("the file has no certificate");
    }
    TrustManagerFactory factory = TrustManagerFactory.getInstance("PKIX");
    factory.init(store);
    return Arrays.stream(factory.getTrustManagers())
        .filter(X509ExtendedTrustManager.class::isInstance)
        .map(X509ExtendedTrustManager.class::cast)
        .findFirst()
        .orElseThrow(() -> new CertificateException("the PKIX factory has no X.509 trust manager"));
  }

  /** Reloads the file; on failure the previously loaded certificates stay trusted. */
  public synchronized void reload() {
    try {
      byte[] newContent = Files.readAllBytes(file);
      if (!Arrays.equals(newContent, content)) {
        delegate = createTrustManager(newContent);
        content = newContent;
        LOG.info("trusted_certificates_reloaded", "file", file);
      }
    } catch (IOException | GeneralSecurityException e) {
      LOG.warn("trusted_certificates_unusable", "file", file, "cause", e);
    }
  }

  /**
   * Returns a TLS context that validates each handshake against the certificates loaded last.
   *
   * @return the context
   */
  public SSLContext context() {
    try {
      SSLContext context = SSLContext.getInstance("TLS");
      context.init(null, new TrustManager[] {this}, null);
      return context;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java runtime does not support TLS", e);
    }
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String authType, Socket socket)
      throws CertificateException {
    delegate.checkClientTrusted(chain, authType, socket);
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
      throws CertificateException {
    delegate.checkClientTrusted(chain, authType, engine);
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String authType)
      throws CertificateException {
    delegate.checkClientTrusted(chain, authType);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String authType, Socket socket)
      throws CertificateException {
    delegate.checkServerTrusted(chain, authType, socket);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
      throws CertificateException {
    delegate.checkServerTrusted(chain, authType, engine);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String authType)
      throws CertificateException {
    delegate.checkServerTrusted(chain, authType);
  }

  @Override
  public X509Certificate[] getAcceptedIssuers() {
    return delegate.getAcceptedIssuers();
  }
}
