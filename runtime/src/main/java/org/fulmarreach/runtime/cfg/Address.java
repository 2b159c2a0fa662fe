package org.fulmarreach.runtime.cfg;

import java.util.Optional;

/**
 * A TCP address. Immutable.
 *
 * @param host IP address
 * @param port TCP port, 0 to 65535
 */
public record Address(String host, int port) {
    /**
     * Parses {@code ip:port}.
     *
     * @throws IllegalArgumentException if the text does not have this form; the message says what is wrong
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("expected ip:port, found '" + text + "'");
        }
        String host = text.substring(0, colon);
        if (!host.matches("[0-9a-fA-F.:\\[\\]]+")) {
            throw new IllegalArgumentException("expected an IP address before the port, found '" + host + "'");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > 65_535) {
                throw new IllegalArgumentException("expected a port from 0 to 65535, found " + port);
            }
            return new Address(host, port);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("expected a port number after the last colon in '" + text + "'", e);
        }
    }

    /**
     * Returns the address of a process to connect to; empty if the text is null, malformed or has port 0. For addresses
     * that other processes or records of the store name.
     */
    public static Optional<Address> findPeer(String text) {
        if (text == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(parse(text)).filter(address -> address.port() > 0);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns whether the host is a loopback address. */
    public boolean isLoopback() {
        return host.startsWith("127.") || host.equals("[::1]");
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
