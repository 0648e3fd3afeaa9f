package org.dogwoodwood.soak;

/** The header fields and paths of the platform that its stand-ins use. */
final class PlatformNames {

    static final String REQUEST_ID = "X-Dogwoodwood-Request-Id";
    static final String RESPONSE_STAMP = "X-Dogwoodwood-Response-Stamp";
    static final String DEADLINE_MILLIS = "X-Dogwoodwood-Deadline-Ms";
    static final String EXPECT_INSTANCE = "X-Dogwoodwood-Expect-Instance";
    static final String NOT_EXECUTED = "X-Dogwoodwood-Not-Executed";
    static final String INSTANCE_ID = "X-Dogwoodwood-Instance-Id";
    static final String SERVER_LOAD = "X-Dogwoodwood-Server-Load";
    static final String COLD_MILLIS = "X-Dogwoodwood-Cold-Ms";

    static final String INSTANCES_PATH = "/dogwoodwood/instances/";
    static final String READY_PATH = "/dogwoodwood/ready";
    static final String HEALTH_PATH = "/health";

    private PlatformNames() {}
}
