package org.quetzalshunt.core.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.configuration.ConfigurationChange.CheckpointChange;
import org.quetzalshunt.core.configuration.ConfigurationChange.DocumentChange;
import org.quetzalshunt.core.document.ClientAccount;
import org.quetzalshunt.core.document.ServiceDocument;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.document.ServiceLimits;

/** Replaces the Thrift codec in tests. Encodes records as text: {@code put service based team change hash,hash}. */
final class TextRecords {
    private static final String REMOVED = "-";

    private TextRecords() {}

    static DocumentChange put(String service, long basedOn, String change, String... keyHashes) {
        return new DocumentChange(
                service, basedOn, "mawe", "asha", 0, change, Optional.of(document(service, keyHashes)), "");
    }

    static DocumentChange remove(String service, long basedOn, String change) {
        return new DocumentChange(service, basedOn, "mawe", "asha", 0, change, Optional.empty(), "");
    }

    static String hash(int key) {
        return String.format("%064x", key);
    }

    static byte[] write(ConfigurationChange change) {
        if (change instanceof DocumentChange put) {
            String hashes = put.document()
                    .map(document -> String.join(",", document.accounts().get(0).keyHashes()))
                    .orElse(REMOVED);
            return octets(String.join(
                    " ", "put", put.service(), "" + put.basedOnVersion(), put.team(), put.changeId(), hashes));
        }
        CheckpointChange checkpoint = (CheckpointChange) change;
        return octets(String.join(
                " ",
                "checkpoint",
                "" + checkpoint.coversBelow(),
                "" + checkpoint.part(),
                "" + checkpoint.parts(),
                Base64.getEncoder().encodeToString(checkpoint.state())));
    }

    static Optional<ConfigurationChange> read(byte[] record) {
        String[] words = new String(record, StandardCharsets.UTF_8).split(" ", -1);
        if (words[0].equals("put")) {
            Optional<ServiceDocument> document = words[5].equals(REMOVED)
                    ? Optional.empty()
                    : Optional.of(document(words[1], words[5].split(",", -1)));
            return Optional.of(new DocumentChange(
                    words[1], Long.parseLong(words[2]), words[3], "asha", 0, words[4], document, ""));
        }
        if (words[0].equals("checkpoint")) {
            return Optional.of(new CheckpointChange(
                    Long.parseLong(words[1]),
                    Integer.parseInt(words[2]),
                    Integer.parseInt(words[3]),
                    Base64.getDecoder().decode(words[4])));
        }
        return Optional.empty();
    }

    private static ServiceDocument document(String service, String... keyHashes) {
        ClientAccount account = new ClientAccount("arusha", List.of(keyHashes), 10, 20, 1);
        return new ServiceDocument(
                service,
                "mawe",
                ServiceKind.ENGINE,
                List.of(account),
                List.of(),
                ServiceLimits.defaults(),
                List.of(),
                true);
    }

    private static byte[] octets(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
