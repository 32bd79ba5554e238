package io.lycheejunction.proxy.access;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.time.Instant;
import java.util.Date;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.X509CertificateHolder;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** The PEM texts of a new certificate authority and of a proxy certificate for 127.0.0.1. */
final class Certificates {
  private static final Date FROM = Date.from(Instant.parse("2000-01-01T00:00:00Z"));
  private static final Date UNTIL = Date.from(Instant.parse("2100-01-01T00:00:00Z"));

  private final String ca;
  private final String cert;
  private final String key;

  private Certificates(String ca, String cert, String key) {
    this.ca = ca;
    this.cert = cert;
    this.key = key;
  }

  static Certificates of(String authority) {
    try {
      KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
      generator.initialize(256);
      KeyPair root = generator.generateKeyPair();
      KeyPair leaf = generator.generateKeyPair();
      return new Certificates(
          pem(sign(authority, root, authority, root, true)),
          pem(sign(authority, root, "proxy", leaf, false)),
          pem(new org.bouncycastle.openssl.jcajce.JcaPKCS8Generator(leaf.getPrivate(), null)));
    } catch (GeneralSecurityException | OperatorCreationException | IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static X509CertificateHolder sign(
      String issuer, KeyPair issuerKeys, String subject, KeyPair subjectKeys, boolean isAuthority)
      throws OperatorCreationException, IOException {
    JcaX509v3CertificateBuilder builder =
        new JcaX509v3CertificateBuilder(
            new X500Name("CN=" + issuer),
            BigInteger.valueOf(isAuthority ? 1 : 2),
            FROM,
            UNTIL,
            new X500Name("CN=" + subject),
            subjectKeys.getPublic());
    builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(isAuthority));
    if (!isAuthority) {
      GeneralName ip = new GeneralName(GeneralName.iPAddress, "127.0.0.1");
      builder.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(ip));
    }
    return builder.build(
        new JcaContentSignerBuilder("SHA256withECDSA").build(issuerKeys.getPrivate()));
  }

  private static String pem(Object object) throws IOException {
    StringWriter text = new StringWriter();
    try (JcaPEMWriter writer = new JcaPEMWriter(text)) {
      writer.writeObject(object);
    }
    return text.toString();
  }

  /** Writes {@code ca.pem}, {@code cert.pem}, {@code key.pem} and {@code both.pem}. */
  TlsFiles write(Path directory) {
    try {
      Files.writeString(directory.resolve("ca.pem"), ca);
      Files.writeString(directory.resolve("cert.pem"), cert);
      Files.writeString(directory.resolve("key.pem"), key);
      Path fresh = Files.writeString(directory.resolve("fresh.pem"), key + cert);
      Files.move(
          fresh, directory.resolve("both.pem"), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
      return new TlsFiles(
          directory.resolve("cert.pem").toString(),
          directory.resolve("key.pem").toString(),
          directory.resolve("ca.pem").toString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
