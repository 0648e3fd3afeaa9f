package org.dogwoodwood.soak;

import java.util.ArrayList;
import java.util.List;

/** The operator's configuration of a soak. */
final class SoakConfiguration {

    private SoakConfiguration() {}

    /** Returns a configuration with a safe and an unsafe route for each service. */
    static String of(List<String> services) {
        List<String> routes = new ArrayList<>();
        List<String> definitions = new ArrayList<>();
        for (String service : services) {
            routes.add(route("read", "safe", service));
            routes.add(route("write", "unsafe", service));
            definitions.add(
                    "\"%s\": {\"healthPath\": \"%s\", \"maxConnections\": 100,"
                                    .formatted(service, PlatformNames.HEALTH_PATH)
                            + " \"coldStart\": \"1s\", \"coldPerS\": 10.0}");
        }
        return "{\"version\": \"00000001\", \"routes\": {"
                + String.join(", ", routes)
                + "}, \"services\": {"
                + String.join(", ", definitions)
                + "}, \"limits\": {\"maxHeaderBytes\": 16384}}";
    }

    private static String route(String name, String kind, String service) {
        return """
        "%s-%s": {"hostname": "%s.%s", "pathPrefix": "/", "kind": "%s", "timeout": "2s",
         "targetLatency": "500ms", "priority": 1, "service": "%s", "maxAttempts": 3}\
        """
                .formatted(name, service, name, service, kind, service);
    }
}
