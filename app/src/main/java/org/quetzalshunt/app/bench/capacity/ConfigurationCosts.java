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

/** Measures the fold of the configuration over accounts of seven services. */
final class ConfigurationCosts {
    private static final int SERVICES = 7;
    private static final int CHANGES = 50;
    private static final double MICRO = 1_000;

    private ConfigurationCosts() {}

    /** Heap of a folded configuration by accounts of each service. */
    static Slope heapByAccounts(List<Integer> sizes) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            long before = Heap.used();
            Configuration configuration = folded(size, 1);
            points.add(new Slope.Point(size, Heap.used() - before));
            if (configuration.documents().size() != SERVICES) {
                throw new IllegalStateException("documents were not folded");
            }
        }
        return new Slope("heap of a configuration of " + SERVICES + " services", "accounts", "octets", points);
    }

    /** Processor time to fold one change of a document, keys indexed anew, by accounts of each service. */
    static Slope timeByAccounts(List<Integer> sizes) {
        List<Slope.Point> points = new ArrayList<>();
        sizes.forEach(size -> folded(size, CHANGES / SERVICES));
        for (int size : sizes) {
            long started = System.nanoTime();
            folded(size, CHANGES / SERVICES);
            points.add(new Slope.Point(size, (System.nanoTime() - started) / MICRO / CHANGES));
        }
        return new Slope("fold of one change", "accounts", "microseconds", points);
    }

    /** Octets of one change in the stream by accounts of the service. */
    static Slope octetsByAccounts(List<Integer> sizes) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(new Slope.Point(size, record(0, -1, size).length));
        }
        return new Slope("record of one change", "accounts", "octets", points);
    }

    private static Configuration folded(int accounts, int rounds) {
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
