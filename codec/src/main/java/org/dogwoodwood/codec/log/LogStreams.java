package org.dogwoodwood.codec.log;

/** Names of the streams on the platform log. */
public final class LogStreams {

    /** Announcements, leaves, expiries and data centre orders. */
    public static final String MEMBERSHIP = "membership";

    /** Publications and renewals of the configuration. */
    public static final String CONFIGURATION = "configuration";

    private LogStreams() {}
}
