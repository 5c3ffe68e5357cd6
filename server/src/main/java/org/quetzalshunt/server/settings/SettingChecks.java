package org.quetzalshunt.server.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/** Reads the texts of settings and gathers what is wrong with them, so that all of it is told at once. */
final class SettingChecks {
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern IP_NUMBER =
            Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*");
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");
    private static final int LARGEST_PORT = 65_535;
    private static final int SHORTEST_SECRET = 16;

    private final List<SettingProblem> problems = new ArrayList<>();

    List<SettingProblem> problems() {
        return problems;
    }

    String name(String flag, String value) {
        if (!NAME.matcher(value).matches()) {
            problems.add(new SettingProblem(flag, "lower-case letters, digits and hyphens, at most 63"));
        }
        return value;
    }

    String ipNumber(String flag, String value) {
        if (!IP_NUMBER.matcher(value).matches()) {
            problems.add(new SettingProblem(flag, "an IP number, no host name"));
        }
        return value;
    }

    int port(String flag, int value) {
        return (int) range(flag, value, 0, LARGEST_PORT);
    }

    long range(String flag, long value, long least, long most) {
        if (value < least || value > most) {
            problems.add(new SettingProblem(flag, "a number from " + least + " to " + most));
        }
        return value;
    }

    /** An address as IP number, colon, port; IPv6 numbers in brackets. */
    Optional<InetSocketAddress> address(String flag, String value) {
        int colon = value.lastIndexOf(':');
        String host =
                colon < 0 ? "" : value.substring(0, colon).replace("[", "").replace("]", "");
        Optional<Integer> port = colon < 0 ? Optional.empty() : number(value.substring(colon + 1));
        if (!IP_NUMBER.matcher(host).matches()
                || port.filter(found -> found >= 1 && found <= LARGEST_PORT).isEmpty()) {
            problems.add(new SettingProblem(flag, "an IP number, a colon and a port from 1 to 65535"));
            return Optional.empty();
        }
        return Optional.of(new InetSocketAddress(host, port.get()));
    }

    String secret(String flag, String value) {
        if (value.length() < SHORTEST_SECRET) {
            problems.add(new SettingProblem(flag, "at least " + SHORTEST_SECRET + " characters"));
        }
        return value;
    }

    /** Operators' keys as team=hash pairs with commas between them; gives teams by hash. */
    Map<String, String> operatorKeys(String flag, String value) {
        Map<String, String> teams = new LinkedHashMap<>();
        if (value.isBlank()) {
            return teams;
        }
        for (String pair : value.split(",")) {
            int equals = pair.indexOf('=');
            String hash = equals < 0 ? "" : pair.substring(equals + 1).trim();
            if (!HASH.matcher(hash).matches()) {
                problems.add(new SettingProblem(flag, "team=HASH pairs, HASH being a key's SHA-256 as 64 hex digits"));
                return Map.of();
            }
            teams.put(hash, name(flag, pair.substring(0, equals).trim()));
        }
        return teams;
    }

    private static Optional<Integer> number(String text) {
        try {
            return Optional.of(Integer.parseInt(text));
        } catch (NumberFormatException wrong) {
            return Optional.empty();
        }
    }
}
