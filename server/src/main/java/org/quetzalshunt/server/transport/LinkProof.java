package org.quetzalshunt.server.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.quetzalshunt.wire.generated.Hello;

/**
 * Challenge-response authentication with the shared secret: HMAC-SHA256 (RFC 2104) over the challenge of the receiver
 * and the hello of the sender. The challenge is new for each connection, so that a recorded proof cannot be replayed.
 * The proof includes which side opened the connection and the sender's role, so that it cannot be reflected to its
 * sender.
 */
final class LinkProof {
    static final int CHALLENGE_BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    private LinkProof() {}

    static byte[] newChallenge() {
        byte[] challenge = new byte[CHALLENGE_BYTES];
        RANDOM.nextBytes(challenge);
        return challenge;
    }

    static byte[] computeProof(byte[] secret, byte[] receiverChallenge, Hello sender, boolean sentByConnector) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            mac.update(receiverChallenge);
            mac.update((byte) (sentByConnector ? 1 : 0));
            mac.update(ByteBuffer.allocate(Long.BYTES)
                    .putLong(sender.getIncarnation())
                    .array());
            update(mac, sender.getVm());
            update(mac, sender.getRole());
            update(mac, sender.getDataCentre());
            return mac.doFinal(sender.getChallenge());
        } catch (GeneralSecurityException missingAlgorithm) {
            throw new IllegalStateException(missingAlgorithm);
        }
    }

    static boolean verify(byte[] expected, byte[] received) {
        return MessageDigest.isEqual(expected, received);
    }

    private static void update(Mac mac, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        mac.update(bytes);
    }
}
