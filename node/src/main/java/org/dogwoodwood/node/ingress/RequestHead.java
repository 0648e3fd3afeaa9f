package org.dogwoodwood.node.ingress;

import io.netty.handler.codec.http.HttpRequest;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.HostAndPort;
import java.util.Objects;
import java.util.Optional;

/**
 * The head of a caller's request.
 *
 * @param method the HTTP method
 * @param uri the path and query
 * @param authority host and port as the caller wrote them; empty if it named none
 * @param host the host without the port; empty if the caller named none
 * @param headers the header fields
 */
public record RequestHead(
        String method, String uri, String authority, String host, MultiMap headers) {

    /** Checks that the references are present. */
    public RequestHead {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(authority, "authority");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(headers, "headers");
    }

    /** Returns the head of a request that Vert.x has dispatched. */
    public static RequestHead of(HttpServerRequest request) {
        HostAndPort authority = request.authority();
        boolean named = authority != null;
        return new RequestHead(
                request.method().name(),
                request.uri(),
                named && request.version() == HttpVersion.HTTP_2 ? authority.toString() : "",
                named ? authority.host() : "",
                request.headers());
    }

    /** Returns the head of a decoded HTTP/1 request, or empty if its header fields are unusable. */
    static Optional<RequestHead> of(HttpRequest request) {
        if (!(request.headers() instanceof MultiMap headers)) {
            return Optional.empty();
        }
        String named = request.headers().get("Host");
        HostAndPort authority = named == null ? null : HostAndPort.parseAuthority(named, -1);
        return Optional.of(
                new RequestHead(
                        request.method().name(),
                        request.uri(),
                        "",
                        authority == null ? "" : authority.host(),
                        headers));
    }

    /** Returns the first value of a header field, or null if there is none. */
    public String header(String name) {
        return headers.get(name);
    }

    /** Returns whether no body follows the head. */
    boolean hasNoBody() {
        return !headers.contains("Content-Length") && !headers.contains("Transfer-Encoding");
    }
}
