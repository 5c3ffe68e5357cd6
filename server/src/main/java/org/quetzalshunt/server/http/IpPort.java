package org.quetzalshunt.server.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Addresses as text: an IPv4 address, a colon and a port. Names are never resolved. */
public final class IpPort {
    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}\\.\\d{1,3}\\.\\d{1,3}\\.\\d{1,3}):(\\d{1,5})");
    private static final int LARGEST_PORT = 65_535;

    private IpPort() {}

    /** Formats an address so that {@link #parse} can read it. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** Parses an address; empty when the text is not one. */
    public static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port < 1 || port > LARGEST_PORT) {
            return Optional.empty();
        }
        return Optional.of(new InetSocketAddress(matcher.group(1), port));
    }
}
