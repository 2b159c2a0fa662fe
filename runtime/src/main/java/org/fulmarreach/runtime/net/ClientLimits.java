package org.fulmarreach.runtime.net;

import java.util.Map;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.FulmarreachException;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.runtime.cfg.Setting;
import org.fulmarreach.runtime.cfg.Settings;

/**
 * Limits on what clients may make a process hold. Immutable.
 *
 * @param memoryBytes memory for the requests and answers of all connections, in bytes
 * @param maxHeaderBytes largest header section of a request, in bytes
 * @param receiveTimeoutMs time from the first to the last byte of a request, in milliseconds
 * @param writeTimeoutMs time without progress after which an answer is given up, in milliseconds
 * @param lingerBytes bytes that are read and discarded after the last answer of a connection
 * @param descriptors file descriptors that the process may use; connections take all but a reserve
 */
public record ClientLimits(
        long memoryBytes,
        int maxHeaderBytes,
        int receiveTimeoutMs,
        int writeTimeoutMs,
        int lingerBytes,
        int descriptors) {
    /** The rest of the heap is for the state of the process, and for what the collector has not freed yet. */
    private static final int HEAP_PARTS = 4;

    /** Returns the limits from the settings of a process. */
    public static ClientLimits of(Settings settings) {
        return of(
                settings.number(Setting.CLIENT_MEMORY_BYTES),
                settings.intNumber(Setting.MAX_HEADER_BYTES),
                settings.intNumber(Setting.RECEIVE_TIMEOUT_MS),
                settings.intNumber(Setting.WRITE_TIMEOUT_MS),
                settings.intNumber(Setting.LINGER_BYTES),
                0);
    }

    /**
     * Returns the limits from environment variables, with the defaults of the settings.
     *
     * @param environment environment variables
     * @param statedDescriptors file descriptors that the platform grants the process; 0 if it states none
     * @throws FulmarreachException if a value is not a number or is out of range
     */
    public static ClientLimits of(Map<String, String> environment, int statedDescriptors) {
        return of(
                read(environment, Setting.CLIENT_MEMORY_BYTES, Setting.CLIENT_MEMORY_BYTES.defaultValue()),
                (int) read(environment, Setting.MAX_HEADER_BYTES, Setting.MAX_HEADER_BYTES.defaultValue()),
                (int) read(environment, Setting.RECEIVE_TIMEOUT_MS, Setting.RECEIVE_TIMEOUT_MS.defaultValue()),
                (int) read(environment, Setting.WRITE_TIMEOUT_MS, Setting.WRITE_TIMEOUT_MS.defaultValue()),
                (int) read(environment, Setting.LINGER_BYTES, Setting.LINGER_BYTES.defaultValue()),
                statedDescriptors);
    }

    /**
     * Returns the maximum number of connections from callers, from the environment.
     *
     * @param defaultConnections the number without a variable
     * @throws FulmarreachException if the value is not a number or is out of range
     */
    public static int maxConnections(Map<String, String> environment, int defaultConnections) {
        return (int) read(environment, Setting.MAX_HTTP_CONNECTIONS, Integer.toString(defaultConnections));
    }

    /**
     * Checks all variables of the limits, so that a process can end before it starts to listen.
     *
     * @throws FulmarreachException if a value is not a number or is out of range
     */
    public static void check(Map<String, String> environment) {
        of(environment, 0);
        maxConnections(environment, 1);
    }

    private static ClientLimits of(long memoryBytes, int header, int receive, int write, int linger, int descriptors) {
        long heapPart = Runtime.getRuntime().maxMemory() / HEAP_PARTS;
        return new ClientLimits(
                memoryBytes == 0 ? heapPart : memoryBytes,
                header,
                receive,
                write,
                linger,
                Descriptors.allowed(descriptors));
    }

    private static long read(Map<String, String> environment, Setting setting, String defaultValue) {
        String text = environment.getOrDefault(setting.variable(), defaultValue);
        try {
            long value = Long.parseLong(text);
            if (value >= setting.min() && value <= setting.max()) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below with the range.
        }
        throw new FulmarreachException(Problem.of(
                ErrorCode.BAD_SETTING,
                setting.variable() + ": expected " + setting.min() + " to " + setting.max() + " " + setting.unit()
                        + ", found '" + text + "'"));
    }
}
