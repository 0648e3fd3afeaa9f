package org.dogwoodwood.node.ingress;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.RouteDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.core.routing.RouteResolver;
import org.dogwoodwood.core.routing.RouteResolver.ResolvedRoute;
import org.dogwoodwood.node.http.AnswerWriter;
import org.dogwoodwood.node.http.Headers;
import org.dogwoodwood.node.ingress.ServiceResolver.ResolvedService;

/** The default HTTP interface for callers, described in {@code docs/interfaces.md}. */
public final class DefaultCallerProtocol implements CallerProtocol {

    private static final String DEFAULT_CLASS = "default";
    private static final int MAX_KEY_CHARS = 256;

    private final IngressLimits limits;
    private final CallerAccounts accounts = CallerAccounts.create("Bearer", Headers.ACCOUNT);
    private final ServiceResolver services = new ServiceResolver();
    private final RouteResolver routes = RouteResolver.create();

    private DefaultCallerProtocol(IngressLimits limits) {
        this.limits = limits;
    }

    /** Returns a protocol that enforces the given limits, not null. */
    public static DefaultCallerProtocol create(IngressLimits limits) {
        return new DefaultCallerProtocol(limits);
    }

    @Override
    public CallParameters readHead(RequestHead request, Configuration configuration) {
        if (configuration.version() == 0) {
            throw new DogwoodwoodException(
                    ErrorCode.NO_CONFIGURATION, "The node has not read a configuration yet.");
        }
        Optional<ResolvedRoute> route =
                routes.resolve(configuration, request.host(), request.uri());
        Optional<AccountDefinition> account =
                accounts.identify(request, configuration, route.map(ResolvedRoute::route));
        if (route.isPresent()) {
            return routedParameters(request, configuration, route.get(), account);
        }
        ResolvedService resolved =
                services.resolve(configuration, request.host(), request.uri())
                        .orElseThrow(
                                () ->
                                        new DogwoodwoodException(
                                                ErrorCode.UNKNOWN_SERVICE,
                                                "Neither path nor host names a configured"
                                                        + " service."));
        ServiceDefinition service = resolved.service();
        long timeoutMillis = timeoutMillis(request, service.timeoutMillis());
        return new CallParameters(
                service,
                callClass(request, service, configuration, account),
                key(request),
                depth(request),
                timeoutMillis,
                timeoutMillis,
                service.isIdempotent(request.method()),
                Integer.MAX_VALUE,
                resolved.path(),
                forwardedHeaders(request, configuration),
                account.map(AccountDefinition::name),
                "");
    }

    @Override
    public void writeAnswer(HttpServerRequest request, TargetAnswer answer) {
        AnswerWriter.writeAnswer(request, answer);
    }

    @Override
    public Future<Void> writeError(HttpServerRequest request, ErrorCode code, String detail) {
        return AnswerWriter.writeError(request, code, detail);
    }

    @Override
    public Future<Void> writeError(
            HttpServerRequest request, ErrorCode code, String detail, String retryAfterSeconds) {
        return AnswerWriter.writeError(request, code, detail, retryAfterSeconds);
    }

    private CallParameters routedParameters(
            RequestHead request,
            Configuration configuration,
            ResolvedRoute resolved,
            Optional<AccountDefinition> account) {
        RouteDefinition route = resolved.route();
        long timeoutMillis = timeoutMillis(request, route.timeoutMillis());
        return new CallParameters(
                resolved.service(),
                namesClass(request, account)
                        ? callClass(request, resolved.service(), configuration, account)
                        : route.callClass(),
                key(request),
                depth(request),
                Math.min(timeoutMillis, route.timeoutMillis()),
                route.targetLatencyMillis(),
                route.execution().isRepeatable(),
                route.maxAttempts(),
                request.uri(),
                forwardedHeaders(request, configuration),
                account.map(AccountDefinition::name),
                "");
    }

    private List<HeaderField> forwardedHeaders(RequestHead request, Configuration configuration) {
        List<HeaderField> headers =
                new ArrayList<>(
                        accounts.forwardable(
                                Headers.endToEnd(request.headers(), false), configuration));
        boolean hasHost = headers.stream().anyMatch(h -> h.name().equalsIgnoreCase("Host"));
        if (!hasHost && !request.authority().isEmpty()) {
            headers.add(HeaderField.of("Host", request.authority()));
        }
        return headers;
    }

    private long timeoutMillis(RequestHead request, int defaultMillis) {
        String text = request.header(Headers.TIMEOUT_MS);
        if (text == null) {
            return defaultMillis;
        }
        long millis = RequestReader.parseLong(Headers.TIMEOUT_MS, text);
        if (millis > limits.maxTimeoutMillis()) {
            return limits.maxTimeoutMillis();
        }
        if (millis < 1) {
            throw new DogwoodwoodException(
                    ErrorCode.DEADLINE_TOO_SHORT, "No time is left for the request.");
        }
        return millis;
    }

    private static int depth(RequestHead request) {
        String text = request.header(Headers.DEPTH);
        if (text == null) {
            return 0;
        }
        long depth = RequestReader.parseLong(Headers.DEPTH, text);
        if (depth < 0) {
            throw RequestReader.badRequest(Headers.DEPTH + " must not be negative.");
        }
        if (depth > IngressLimits.MAX_DEPTH) {
            throw new DogwoodwoodException(
                    ErrorCode.DEPTH_EXCEEDED,
                    "The call has passed through " + depth + " services.");
        }
        return (int) depth;
    }

    private static boolean namesClass(RequestHead request, Optional<AccountDefinition> account) {
        return account.flatMap(AccountDefinition::callClass).isPresent()
                || request.header(Headers.CLASS) != null;
    }

    // The class of the account precedes the one that the caller names, which would otherwise give
    // any caller the largest weight.
    private static String callClass(
            RequestHead request,
            ServiceDefinition service,
            Configuration configuration,
            Optional<AccountDefinition> account) {
        String name =
                account.flatMap(AccountDefinition::callClass)
                        .orElseGet(() -> request.header(Headers.CLASS));
        if (name == null || name.equals(DEFAULT_CLASS)) {
            return DEFAULT_CLASS;
        }
        boolean allowed =
                service.callClasses().isEmpty()
                        ? configuration.callClasses().containsKey(name)
                        : service.callClasses().contains(name);
        if (!allowed) {
            throw RequestReader.badRequest(
                    "The class of the account or in "
                            + Headers.CLASS
                            + " may not call this service.");
        }
        return name;
    }

    private static Optional<String> key(RequestHead request) {
        String key = request.header(Headers.IDEMPOTENCY_KEY);
        if (key == null) {
            return Optional.empty();
        }
        if (key.isBlank() || key.length() > MAX_KEY_CHARS) {
            throw RequestReader.badRequest(
                    "An Idempotency-Key must have 1 to " + MAX_KEY_CHARS + " characters.");
        }
        return Optional.of(key);
    }
}
