package org.dogwoodwood.node.ingress;

import io.netty.handler.codec.http.HttpRequest;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.HostAndPort;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.DogwoodwoodException;

/**
 * The head of a caller's request.
 *
 * @param method the HTTP method
 * @param uri the path and query
 * @param authority host and port of an HTTP/2 request as the caller sent them; empty otherwise
 * @param host the host without the port; empty if there is none
 * @param headers the header fields
 */
public record RequestHead(
        String method, String uri, String authority, String host, MultiMap headers) {

    /** Rejects null references, except for {@code uri}. */
    public RequestHead {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(authority, "authority");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(headers, "headers");
    }

    /**
     * Returns the head of a request that Vert.x has dispatched.
     *
     * @throws DogwoodwoodException if its host is unreadable
     */
    public static RequestHead of(HttpServerRequest request) {
        if (hasUnreadableHost(request.headers())) {
            throw RequestReader.badRequest("The Host field is unreadable.");
        }
        HostAndPort authority = request.authority();
        boolean hasAuthority = authority != null;
        return new RequestHead(
                request.method().name(),
                request.uri(),
                hasAuthority && request.version() == HttpVersion.HTTP_2 ? authority.toString() : "",
                hasAuthority ? authority.host() : "",
                request.headers());
    }

    /**
     * Returns the head of a decoded HTTP/1 request, or empty if its host is unreadable or its
     * header fields are not a Vert.x {@link MultiMap}.
     */
    static Optional<RequestHead> of(HttpRequest request) {
        if (!(request.headers() instanceof MultiMap headers) || hasUnreadableHost(headers)) {
            return Optional.empty();
        }
        String hostField = request.headers().get("Host");
        HostAndPort authority =
                hostField == null ? null : HostAndPort.parseAuthority(hostField, -1);
        return Optional.of(
                new RequestHead(
                        request.method().name(),
                        request.uri(),
                        "",
                        authority == null ? "" : authority.host(),
                        headers));
    }

    // The parser of Vert.x fails at some percent-encoded hosts. No service or route has such a
    // host.
    private static boolean hasUnreadableHost(MultiMap headers) {
        String host = headers.get("Host");
        return host != null && host.indexOf('%') >= 0;
    }

    /** Returns the first value of a header field, or null if there is none. */
    public String header(String name) {
        return headers.get(name);
    }

    /** Returns whether the request has no body. */
    boolean hasNoBody() {
        return !headers.contains("Content-Length") && !headers.contains("Transfer-Encoding");
    }
}
