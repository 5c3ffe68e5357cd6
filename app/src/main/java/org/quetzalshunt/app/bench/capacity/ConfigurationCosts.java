package org.quetzalshunt.app.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.configuration.Configuration;
import org.quetzalshunt.core.configuration.ConfigurationChange;
import org.quetzalshunt.core.document.ClientAccount;
import org.quetzalshunt.core.document.ServiceDocument;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.wire.record.ConfigurationRecordCodec;

/** Measures the cost of applying configuration records, by the number of accounts of each of seven services. */
final class ConfigurationCosts {
    private static final int SERVICES = 7;
    private static final int CHANGES = 50;
    private static final double NANOS_PER_MICRO = 1_000;

    private ConfigurationCosts() {}

    /** Heap of a configuration, by number of accounts of each service. */
    static ScalingSeries heapByAccounts(List<Integer> sizes) {
        List<ScalingSeries.Point> points = new ArrayList<>();
        for (int size : sizes) {
            long before = HeapUsage.usedBytes();
            Configuration configuration = applyChanges(size, 1);
            points.add(new ScalingSeries.Point(size, HeapUsage.usedBytes() - before));
            if (configuration.documents().size() != SERVICES) {
                throw new IllegalStateException("documents were not folded");
            }
        }
        return new ScalingSeries("heap of a configuration of " + SERVICES + " services", "accounts", "octets", points);
    }

    /** Time to apply one document change, including the rebuilt key index, by number of accounts of each service. */
    static ScalingSeries timeByAccounts(List<Integer> sizes) {
        List<ScalingSeries.Point> points = new ArrayList<>();
        sizes.forEach(size -> applyChanges(size, CHANGES / SERVICES));
        for (int size : sizes) {
            long startNanos = System.nanoTime();
            applyChanges(size, CHANGES / SERVICES);
            points.add(new ScalingSeries.Point(size, (System.nanoTime() - startNanos) / NANOS_PER_MICRO / CHANGES));
        }
        return new ScalingSeries("fold of one change", "accounts", "microseconds", points);
    }

    /** Octets of one change in the stream, by number of accounts of the service. */
    static ScalingSeries octetsByAccounts(List<Integer> sizes) {
        List<ScalingSeries.Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(new ScalingSeries.Point(size, record(0, -1, size).length));
        }
        return new ScalingSeries("record of one change", "accounts", "octets", points);
    }

    private static Configuration applyChanges(int accounts, int rounds) {
        Configuration configuration = Configuration.create(ConfigurationRecordCodec::decode);
        long offset = 0;
        for (int round = 0; round < rounds; round++) {
            for (int service = 0; service < SERVICES; service++) {
                long basedOn = configuration.currentVersion("service-" + service);
                configuration.apply(offset++, record(service, basedOn, accounts), 0);
            }
        }
        return configuration;
    }

    private static byte[] record(int service, long basedOn, int accounts) {
        List<ClientAccount> list = new ArrayList<>();
        StringBuilder text =
                new StringBuilder("service: service-" + service + "\nteam: team\nkind: engine\naccounts:\n");
        for (int number = 0; number < accounts; number++) {
            String hash = String.format("%064x", service * 100_000L + number + 1);
            list.add(new ClientAccount("account-" + number, List.of(hash), 10, 20, 1));
            text.append("  - {name: account-")
                    .append(number)
                    .append(", keyHashes: [")
                    .append(hash);
            text.append("], requestsPerSecond: 10, burst: 20, weight: 1}\n");
        }
        ServiceDocument document = new ServiceDocument(
                "service-" + service,
                "team",
                ServiceKind.ENGINE,
                list,
                List.of(),
                ServiceLimits.defaults(),
                List.of(),
                true);
        return ConfigurationRecordCodec.encode(new ConfigurationChange.DocumentChange(
                "service-" + service,
                basedOn,
                "team",
                "author",
                1,
                "change-" + service + basedOn,
                Optional.of(document),
                text.toString()));
    }
}
