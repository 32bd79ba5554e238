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

/** Trusts the servers whose certificates are signed by those of a PEM file. */
public final class PemTrust extends X509ExtendedTrustManager {
  private static final EventLog LOG = EventLog.of(PemTrust.class);

  private final Path file;
  private byte[] content;
  private volatile X509ExtendedTrustManager current;

  private PemTrust(Path file, byte[] content) throws GeneralSecurityException, IOException {
    this.file = file;
    this.content = content;
    this.current = manager(content);
  }

  /**
   * Returns the trust in the certificates of a file.
   *
   * @param file the PEM file
   * @return the trust, or a fault if the file has no certificate
   */
  public static Result<PemTrust> of(Path file) {
    try {
      return Result.success(new PemTrust(file, Files.readAllBytes(file)));
    } catch (IOException | GeneralSecurityException e) {
      return Result.failure(ResultCode.BAD_SETTING, file + " is not a PEM file of certificates");
    }
  }

  private static X509ExtendedTrustManager manager(byte[] pem)
      throws GeneralSecurityException, IOException {
    KeyStore store = KeyStore.getInstance("PKCS12");
    store.load(null, null);
    int number = 0;
    for (Certificate certificate :
        CertificateFactory.getInstance("X.509")
            .generateCertificates(new ByteArrayInputStream(pem))) {
      store.setCertificateEntry("trusted-" + number++, certificate);
    }
    if (number == 0) {
      throw new CertificateException("no certificate");
    }
    TrustManagerFactory factory = TrustManagerFactory.getInstance("PKIX");
    factory.init(store);
    return Arrays.stream(factory.getTrustManagers())
        .filter(X509ExtendedTrustManager.class::isInstance)
        .map(X509ExtendedTrustManager.class::cast)
        .findFirst()
        .orElseThrow(() -> new CertificateException("no PKIX trust manager"));
  }

  /** Reads the file again; if it cannot be used, the certificates in force stay. */
  public synchronized void reload() {
    try {
      byte[] fresh = Files.readAllBytes(file);
      if (!Arrays.equals(fresh, content)) {
        current = manager(fresh);
        content = fresh;
        LOG.info("trusted_certificates_reloaded", "file", file);
      }
    } catch (IOException | GeneralSecurityException e) {
      LOG.warn("trusted_certificates_unusable", "file", file, "cause", e);
    }
  }

  /**
   * Returns a context that trusts the certificates in force at the time of each handshake.
   *
   * @return the context
   */
  public SSLContext context() {
    try {
      SSLContext context = SSLContext.getInstance("TLS");
      context.init(null, new TrustManager[] {this}, null);
      return context;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has TLS", e);
    }
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String authType, Socket socket)
      throws CertificateException {
    current.checkClientTrusted(chain, authType, socket);
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
      throws CertificateException {
    current.checkClientTrusted(chain, authType, engine);
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String authType)
      throws CertificateException {
    current.checkClientTrusted(chain, authType);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String authType, Socket socket)
      throws CertificateException {
    current.checkServerTrusted(chain, authType, socket);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
      throws CertificateException {
    current.checkServerTrusted(chain, authType, engine);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String authType)
      throws CertificateException {
    current.checkServerTrusted(chain, authType);
  }

  @Override
  public X509Certificate[] getAcceptedIssuers() {
    return current.getAcceptedIssuers();
  }
}
