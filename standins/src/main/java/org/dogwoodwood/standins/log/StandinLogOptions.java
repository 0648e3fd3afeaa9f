package org.dogwoodwood.standins.log;

/**
 * The options of the stand-in log.
 *
 * @param port the port on 127.0.0.1; 0 for a free one
 * @param appendsPerSecond the maximum rate of appends to all streams together
 * @param retentionMillis how long records are retained, in milliseconds; 0 for no limit
 */
public record StandinLogOptions(int port, int appendsPerSecond, long retentionMillis) {

    public static final int DEFAULT_APPENDS_PER_SECOND = 300;

    /** Returns the options of a log that retains all records. */
    public static StandinLogOptions onPort(int port) {
        return new StandinLogOptions(port, DEFAULT_APPENDS_PER_SECOND, 0);
    }
}
