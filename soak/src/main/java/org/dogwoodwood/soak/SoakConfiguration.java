package org.dogwoodwood.soak;

import java.util.ArrayList;
import java.util.List;

/** The operator's configuration of a soak. */
final class SoakConfiguration {

    private static final int LATENCY_MILLIS = 500;
    private static final int LATENCY_STEPS = 50;

    private SoakConfiguration() {}

    /**
     * Returns a configuration with a safe and an unsafe route for each service.
     *
     * @param version the version, which also decides on the objectives of the routes
     */
    static String of(List<String> services, int version) {
        List<String> routes = new ArrayList<>();
        List<String> definitions = new ArrayList<>();
        for (String service : services) {
            routes.add(route("read", "safe", service, version));
            routes.add(route("write", "unsafe", service, version));
            definitions.add(
                    "\"%s\": {\"healthPath\": \"%s\", \"maxConnections\": 100,"
                                    .formatted(service, PlatformNames.HEALTH_PATH)
                            + " \"coldStart\": \"1s\", \"coldPerS\": 10.0}");
        }
        return "{\"version\": \"%08x\", \"routes\": {".formatted(version)
                + String.join(", ", routes)
                + "}, \"services\": {"
                + String.join(", ", definitions)
                + "}, \"limits\": {\"maxHeaderBytes\": 16384}}";
    }

    private static String route(String name, String kind, String service, int version) {
        int latencyMillis = LATENCY_MILLIS + version % LATENCY_STEPS;
        return """
        "%s-%s": {"hostname": "%s.%s", "pathPrefix": "/", "kind": "%s", "timeout": "2s",
         "targetLatency": "%dms", "priority": 1, "service": "%s", "maxAttempts": 3}\
        """
                .formatted(name, service, name, service, kind, latencyMillis, service);
    }
}
