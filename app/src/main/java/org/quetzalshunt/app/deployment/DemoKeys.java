package org.quetzalshunt.app.deployment;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Random API keys of the callers and operators of a deployment on loopback. */
public final class DemoKeys {
    /** Client accounts of the demo. */
    public static final List<String> ACCOUNTS = List.of("arusha", "moshi", "karatu");

    /** Team that owns the documents. */
    public static final String TEAM = "mawe-kavu";

    private static final int KEY_BYTES = 18;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final Map<String, String> callerKeys = new LinkedHashMap<>();
    private final Set<String> withdrawn = new TreeSet<>();
    private final String operatorKey = randomKey("qzo-");

    private DemoKeys() {
        ACCOUNTS.forEach(account -> callerKeys.put(account, randomKey("qzc-")));
    }

    static DemoKeys create() {
        return new DemoKeys();
    }

    /** Key of an account, whether or not it has been withdrawn. */
    public String callerKey(String account) {
        return callerKeys.get(account);
    }

    /** Keys by account, including withdrawn ones. */
    public Map<String, String> callerKeys() {
        return Map.copyOf(callerKeys);
    }

    /** Key of the operators. */
    public String operatorKey() {
        return operatorKey;
    }

    void withdraw(String account) {
        withdrawn.add(account);
    }

    /** Hashes of the account's valid keys; after a withdrawal, one random hash that matches no key. */
    List<String> activeKeyHashes(String account) {
        return withdrawn.contains(account) ? List.of(hash(randomKey("none-"))) : List.of(hash(callerKeys.get(account)));
    }

    Map<String, String> operatorTeams() {
        return Map.of(hash(operatorKey), TEAM);
    }

    private static String hash(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static String randomKey(String prefix) {
        byte[] bytes = new byte[KEY_BYTES];
        RANDOM.nextBytes(bytes);
        return prefix + HexFormat.of().formatHex(bytes);
    }
}
