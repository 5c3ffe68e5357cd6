package org.quetzalshunt.wire.document;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.quetzalshunt.core.document.CallRule;
import org.quetzalshunt.core.document.ClientAccount;
import org.quetzalshunt.core.document.ServiceDocument;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.document.ServiceLimits;

/**
 * Parses and validates a service document in YAML or JSON. The result is the document, or all errors with their lines
 * and paths: unknown fields, values of the wrong type or out of bounds, and duplicate names or keys.
 *
 * <p>All processes of a deployment must read a text with the same result, because a process skips a configuration
 * record whose document is not valid. A check may therefore be made stricter only if no active document violates it,
 * and a new field may be used only after every VM runs a version that supports it.
 */
public final class DocumentReader {
    /** Maximum size of a text, such that the record with the document fits into one append. */
    public static final int MAXIMUM_BYTES = 512 * 1024;

    private static final int MAXIMUM_ERRORS = 100;
    private static final int MAXIMUM_ACCOUNTS = 1_000;
    private static final int MAXIMUM_KEYS = 8;
    private static final int MAXIMUM_RULES = 256;
    private static final int MAXIMUM_MODELS = 64;
    private static final double MAXIMUM_RATE = 1_000_000;
    private static final double MAXIMUM_WEIGHT = 1_000;
    private static final double MINIMUM_BURST = 1;
    private static final long DAY_MILLIS = 86_400_000;
    private static final long MAXIMUM_TOKENS = 1_000_000_000;
    private static final int MAXIMUM_QUEUE = 100_000;
    private static final int MAXIMUM_TURNS = 100_000;

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final String NAME_EXPECTED =
            "1 to 63 lower-case letters, digits, dots, underscores and hyphens, the first a letter or digit";
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");
    private static final String HASH_EXPECTED = "the SHA-256 of a key as 64 lower-case hex digits";
    private static final Pattern METHOD = Pattern.compile("GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS|\\*");
    private static final Pattern PATH = Pattern.compile("/[!-~]{0,255}");
    private static final Pattern MODEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,127}@[A-Za-z0-9._-]{1,64}");
    private static final Pattern KIND = Pattern.compile("engine|plain");

    private final List<DocumentError> errors = new ArrayList<>();
    private final Set<String> accountNames = new HashSet<>();
    private final Set<String> keyHashes = new HashSet<>();

    private DocumentReader() {}

    /** Parses and validates a text. */
    public static DocumentResult read(String text) {
        DocumentReader reader = new DocumentReader();
        Optional<ServiceDocument> document = reader.readText(text);
        if (document.isPresent() && reader.errors.isEmpty()) {
            return new DocumentResult.Valid(document.get());
        }
        return new DocumentResult.Invalid(reader.errors.stream()
                .sorted(Comparator.comparingInt(DocumentError::line))
                .limit(MAXIMUM_ERRORS)
                .toList());
    }

    private Optional<ServiceDocument> readText(String text) {
        if (text.length() > MAXIMUM_BYTES || text.getBytes(StandardCharsets.UTF_8).length > MAXIMUM_BYTES) {
            errors.add(new DocumentError(1, "", "at most " + MAXIMUM_BYTES + " octets of text"));
            return Optional.empty();
        }
        return LocatedTree.read(text, errors).map(this::readDocument);
    }

    private ServiceDocument readDocument(LocatedNode root) {
        FieldReader fields = FieldReader.of(root, "", errors);
        String name = fields.requiredText("service", NAME, NAME_EXPECTED);
        String team = fields.requiredText("team", NAME, NAME_EXPECTED);
        String kind = fields.requiredText("kind", KIND, "engine or plain");
        List<ClientAccount> accounts = fields.list("accounts", MAXIMUM_ACCOUNTS, this::readAccount);
        List<CallRule> rules = fields.list("nonIdempotentCalls", MAXIMUM_RULES, this::readRule);
        ServiceLimits limits = readLimits(fields.nested("limits"));
        List<String> models = fields.list(
                "models",
                MAXIMUM_MODELS,
                (node, path) -> fields.text(node, path, MODEL, "a model and its version as name@version"));
        boolean fencing = fields.booleanValue("engineChecksFencing", false);
        fields.rejectUnknownFields();
        ServiceKind serviceKind =
                kind.isEmpty() ? ServiceKind.PLAIN : ServiceKind.valueOf(kind.toUpperCase(Locale.ROOT));
        return new ServiceDocument(name, team, serviceKind, accounts, rules, limits, models, fencing);
    }

    private ClientAccount readAccount(LocatedNode node, String path) {
        FieldReader fields = FieldReader.of(node, path, errors);
        ClientAccount account = new ClientAccount(
                fields.requiredText("name", NAME, NAME_EXPECTED),
                fields.list("keyHashes", MAXIMUM_KEYS, (hash, place) -> readHash(fields, hash, place)),
                fields.number("requestsPerSecond", Optional.empty(), 0, MAXIMUM_RATE),
                fields.number("burst", Optional.empty(), 0, MAXIMUM_RATE),
                fields.number("weight", Optional.of(1.0), 0, MAXIMUM_WEIGHT));
        fields.rejectUnknownFields();
        if (!account.name().isEmpty() && !accountNames.add(account.name())) {
            fields.addError("name", "a name that no other account of the service has");
        }
        if (account.burst() < MINIMUM_BURST) {
            fields.addError("burst", "at least 1, because a smaller burst admits no request");
        }
        return account;
    }

    /** A key must identify exactly one client account; otherwise a request could run for a different account. */
    private String readHash(FieldReader fields, LocatedNode node, String path) {
        String hash = fields.text(node, path, HASH, HASH_EXPECTED);
        if (!hash.isEmpty() && !keyHashes.add(hash)) {
            errors.add(new DocumentError(node.line(), path, "a key hash that is used only once in the document"));
        }
        return hash;
    }

    private CallRule readRule(LocatedNode node, String path) {
        FieldReader fields = FieldReader.of(node, path, errors);
        CallRule rule = new CallRule(
                fields.requiredText("method", METHOD, "an HTTP method in capitals, or *"),
                fields.requiredText("path", PATH, "a path prefix that starts with /, without blanks"));
        fields.rejectUnknownFields();
        return rule;
    }

    private ServiceLimits readLimits(FieldReader fields) {
        ServiceLimits defaults = ServiceLimits.defaults();
        ServiceLimits limits = new ServiceLimits(
                fields.wholeNumber("requestDeadlineMillis", defaults.requestDeadlineMillis(), 1, DAY_MILLIS),
                fields.wholeNumber("stallMillis", defaults.stallMillis(), 1, DAY_MILLIS),
                (int) fields.wholeNumber("queuePerAccount", defaults.queuePerAccount(), 1, MAXIMUM_QUEUE),
                fields.wholeNumber("programBudgetTokens", defaults.programBudgetTokens(), 1, MAXIMUM_TOKENS),
                fields.wholeNumber("reservationTokens", defaults.reservationTokens(), 1, MAXIMUM_TOKENS),
                (int) fields.wholeNumber("maximumTurns", defaults.maximumTurns(), 1, MAXIMUM_TURNS),
                fields.wholeNumber("programIdleMillis", defaults.programIdleMillis(), 1, DAY_MILLIS),
                fields.wholeNumber("idempotencyMillis", defaults.idempotencyMillis(), 1, DAY_MILLIS));
        fields.rejectUnknownFields();
        if (limits.reservationTokens() > limits.programBudgetTokens()) {
            fields.addError(
                    "reservationTokens",
                    "no more than programBudgetTokens, because a larger reservation lets no turn run");
        }
        return limits;
    }
}
