package org.quetzalshunt.server.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Addresses as text: an IPv4 address, a colon and a port. Names are never resolved. */
public final class IpPort {
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final int OCTETS = 4;
    private static final int LARGEST_OCTET = 255;
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
        byte[] octets = new byte[OCTETS];
        for (int index = 0; index < OCTETS; index++) {
            int octet = Integer.parseInt(matcher.group(index + 1));
            if (octet > LARGEST_OCTET) {
                return Optional.empty();
            }
            octets[index] = (byte) octet;
        }
        int port = Integer.parseInt(matcher.group(OCTETS + 1));
        if (port < 1 || port > LARGEST_PORT) {
            return Optional.empty();
        }
        return Optional.of(new InetSocketAddress(address(octets), port));
    }

    /** Made from octets, since the constructor from text takes one that is not an address for a name and looks it up. */
    private static InetAddress address(byte[] octets) {
        try {
            return InetAddress.getByAddress(octets);
        } catch (UnknownHostException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
