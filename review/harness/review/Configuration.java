package review;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Builds the operator's configuration documents. */
final class Configuration {

    private final int version;
    private final List<String> routes = new ArrayList<>();
    private final Set<String> services = new LinkedHashSet<>();

    Configuration(int version) {
        this.version = version;
    }

    Configuration service(String name) {
        services.add(name);
        return this;
    }

    /** Adds a route for all paths below {@code /NAME/}. */
    Configuration route(String name, String kind, String service) {
        service(service);
        routes.add(
                """
                "%1$s":{"hostname":"%1$s.example","pathPrefix":"/%1$s/","kind":"%2$s",\
                "timeout":"3000ms","targetLatency":"400ms","priority":1,"service":"%3$s",\
                "maxAttempts":2}"""
                        .formatted(name, kind, service));
        return this;
    }

    /** Adds many routes that nobody uses. */
    Configuration manyRoutes(int count, String service) {
        for (int i = 0; i < count; i++) {
            route("seasonal-guide-" + i, "safe", service);
        }
        return this;
    }

    String toJson() {
        List<String> entries = new ArrayList<>();
        for (String service : services) {
            entries.add(
                    """
                    "%s":{"healthPath":"/health","maxConnections":240,"protocol":"h1",\
                    "tls":false,"coldStart":"3s","coldPerS":36.0}"""
                            .formatted(service));
        }
        return String.format(
                Locale.ROOT,
                """
                {"version":"%08x","routes":{%s},"services":{%s},"limits":{"maxHeaderBytes":16384,\
                "maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}""",
                version,
                String.join(",", routes),
                String.join(",", entries));
    }
}
