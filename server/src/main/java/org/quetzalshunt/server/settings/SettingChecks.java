package org.quetzalshunt.server.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses and validates settings. Collects all problems, so that they are reported together. */
final class SettingChecks {
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern IP_ADDRESS =
            Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*");
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");
    private static final int MAXIMUM_PORT = 65_535;
    private static final int MINIMUM_SECRET_LENGTH = 16;

    private final List<SettingProblem> problems = new ArrayList<>();

    List<SettingProblem> problems() {
        return problems;
    }

    String name(String flag, String value) {
        if (!NAME.matcher(value).matches()) {
            problems.add(new SettingProblem(
                    flag, "1 to 63 lower-case letters, digits and hyphens, the first and last a letter or digit"));
        }
        return value;
    }

    String ipAddress(String flag, String value) {
        if (!IP_ADDRESS.matcher(value).matches()) {
            problems.add(new SettingProblem(flag, "an IP address, not a host name"));
        }
        return value;
    }

    int port(String flag, int value) {
        return (int) range(flag, value, 0, MAXIMUM_PORT);
    }

    long range(String flag, long value, long minimum, long maximum) {
        if (value < minimum || value > maximum) {
            problems.add(new SettingProblem(flag, "a number from " + minimum + " to " + maximum));
        }
        return value;
    }

    /** Parses an address: IP address, colon, port; IPv6 addresses in brackets. */
    Optional<InetSocketAddress> address(String flag, String value) {
        int colon = value.lastIndexOf(':');
        String host =
                colon < 0 ? "" : value.substring(0, colon).replace("[", "").replace("]", "");
        Optional<Integer> port = colon < 0 ? Optional.empty() : parseNumber(value.substring(colon + 1));
        if (!IP_ADDRESS.matcher(host).matches()
                || port.filter(found -> found >= 1 && found <= MAXIMUM_PORT).isEmpty()) {
            problems.add(new SettingProblem(flag, "an IP address, a colon and a port from 1 to 65535"));
            return Optional.empty();
        }
        return Optional.of(new InetSocketAddress(host, port.get()));
    }

    String secret(String flag, String value) {
        if (value.length() < MINIMUM_SECRET_LENGTH) {
            problems.add(new SettingProblem(flag, "at least " + MINIMUM_SECRET_LENGTH + " characters"));
        }
        return value;
    }

    /** Parses the keys of operators, given as comma-separated team=hash pairs, into teams by hash. */
    Map<String, String> operatorKeys(String flag, String value) {
        Map<String, String> teams = new LinkedHashMap<>();
        if (value.isBlank()) {
            return teams;
        }
        for (String pair : value.split(",")) {
            int equals = pair.indexOf('=');
            String hash = equals < 0 ? "" : pair.substring(equals + 1).trim();
            if (!HASH.matcher(hash).matches()) {
                problems.add(new SettingProblem(
                        flag, "team=HASH pairs, HASH being a key's SHA-256 as 64 lower-case hex digits"));
                return Map.of();
            }
            teams.put(hash, name(flag, pair.substring(0, equals).trim()));
        }
        return teams;
    }

    private static Optional<Integer> parseNumber(String text) {
        try {
            return Optional.of(Integer.parseInt(text));
        } catch (NumberFormatException invalid) {
            return Optional.empty();
        }
    }
}
