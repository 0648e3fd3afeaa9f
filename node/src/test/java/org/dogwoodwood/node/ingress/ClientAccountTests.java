package org.dogwoodwood.node.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.AccountKey;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.Execution;
import org.dogwoodwood.core.configuration.RouteDefinition;
import org.dogwoodwood.core.configuration.ServiceShare;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against calls without a valid key, and against a target that learns a key. */
class ClientAccountTests {

    private static final String KEY = "gxprymh2rrytapjsujqu";
    private static final String UNKNOWN = "zzprymh2rrytapjsujqu";

    private final TestInstallation installation = new TestInstallation();
    private TestTarget target;
    private TestNode guard;
    private TestNode ingress;

    @BeforeEach
    void start() {
        target = installation.startTarget();
        guard = installation.startGuard("guard", target);
        ingress = installation.startIngress("ingress");
        publish(2, KEY);
    }

    @AfterEach
    void close() {
        installation.close();
    }

    @Test
    void targetGetsTheAccountAndClassInsteadOfTheKey() {
        HttpResponse<String> answer =
                installation.send(
                        request()
                                .header("Authorization", "bearer " + KEY)
                                .header("dogwoodwood-ACCOUNT", "forged")
                                .header("Dogwoodwood-Class", "default")
                                .build());

        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(received())
                .contains("dogwoodwood-account=guides\n", "dogwoodwood-class=gold\n")
                .doesNotContain(KEY, "authorization", "forged");
        assertThat(ingress.node().metrics().prometheusText())
                .contains("dogwoodwood_account_requests_total{account=\"guides\"} 1");
    }

    @Test
    void refusesWhatIsNotTheKeyOfAnAccount() {
        assertRefused(request());
        for (String field :
                List.of("Bearer " + UNKNOWN, "Bearer", "Bearer ", KEY, "Basic " + KEY, "")) {
            assertRefused(request().header("Authorization", field));
        }
        assertRefused(
                request().header("Authorization", "Bearer " + KEY).header("Authorization", "x"));
        assertThat(target.started()).isZero();
        assertThat(ingress.node().metrics().prometheusText())
                .contains("dogwoodwood_refused_keys_total 8");
    }

    /** Guards against pipelined requests, which are read early, that skip the check. */
    @Test
    void checksPipelinedRequests() throws IOException {
        String head = "GET /services/shop/echo HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ";
        try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
            caller.send(head + KEY + "\r\n\r\n" + head + UNKNOWN + "\r\n\r\n");
            assertThat(caller.readAll()).containsSubsequence("HTTP/1.1 200", "HTTP/1.1 401");
        }
        assertThat(target.started()).isEqualTo(1);
    }

    @Test
    void publicRouteNeedsNoKey() throws IOException {
        for (String field : List.of("", "Authorization: Bearer " + UNKNOWN + "\r\n")) {
            assertThat(publicCall(field + "Dogwoodwood-Account: forged\r\n")).contains(" 200 ");
            assertThat(received()).doesNotContain(UNKNOWN, "authorization", "dogwoodwood-account");
        }
        assertThat(publicCall("Authorization: Bearer " + KEY + "\r\n")).contains(" 200 ");
        assertThat(received())
                .contains("dogwoodwood-account=guides\n")
                .doesNotContain(KEY, "authorization");
    }

    /** Guards against a key that is accepted after another version has come into force. */
    @Test
    void refusesARevokedKey() {
        publish(3, "another");
        assertRefused(request().header("Authorization", "Bearer " + KEY));
    }

    /** Guards against a caller that learns the kept answer to a request of another account. */
    @Test
    void idempotencyKeyBelongsToOneAccount() {
        long guides = fingerprint(Optional.of("k1"), Optional.of("guides"));
        assertThat(fingerprint(Optional.of("k1"), Optional.of("guides"))).isEqualTo(guides);
        assertThat(fingerprint(Optional.of("k1"), Optional.of("school"))).isNotEqualTo(guides);
        // Without a key, a request that crashes targets is the same one for all accounts.
        assertThat(fingerprint(Optional.empty(), Optional.of("guides")))
                .isEqualTo(fingerprint(Optional.empty(), Optional.of("school")));
    }

    @Test
    void answersUnavailableWithoutAConfiguration() {
        ingress.control().setRoutingTable(RoutingTable.empty());
        HttpResponse<String> answer = installation.send(request().build());
        assertThat(answer.statusCode()).isEqualTo(503);
        assertThat(answer.body()).contains("NO_CONFIGURATION");
    }

    @Test
    void withoutAccountsAuthorizationIsThatOfTheTarget() {
        installation.setRoutes(guard);
        installation.send(request().header("Authorization", "Bearer " + UNKNOWN).build());
        assertThat(received()).contains("authorization=bearer " + UNKNOWN);
    }

    private static long fingerprint(Optional<String> key, Optional<String> account) {
        CallParameters parameters =
                new CallParameters(
                        TestInstallation.table().configuration().services().get("shop"),
                        "default",
                        key,
                        0,
                        1,
                        1,
                        false,
                        1,
                        "/echo",
                        List.of(),
                        account,
                        "");
        RequestContent content = RequestContent.of("POST", "/echo", List.of(), new byte[0]);
        return new IngressRequest(parameters, 0, 0, content).fingerprint();
    }

    private void publish(long version, String key) {
        RoutingTable table = TestInstallation.table(guard.route(guard.peerAddress()));
        Configuration base = table.configuration();
        AccountDefinition guides =
                new AccountDefinition(
                        "guides", Set.of(AccountKey.fromClearText(key)), Optional.of("gold"), 0, 0);
        RouteDefinition open =
                new RouteDefinition(
                        "open",
                        "open.example",
                        "/",
                        List.of(new ServiceShare("shop", 1)),
                        Execution.IDEMPOTENT,
                        2_000,
                        500,
                        "default",
                        2,
                        true);
        Configuration configuration =
                new Configuration(
                        version,
                        base.services(),
                        Map.of(),
                        Map.of("gold", CallClassDefinition.withDefaults("gold")),
                        base.policies(),
                        Map.of("open", open),
                        Map.of("guides", guides));
        RoutingTable next =
                new RoutingTable(configuration, table.targetsByService(), Long.MAX_VALUE, false);
        ingress.control().setRoutingTable(next);
        guard.control().setRoutingTable(next);
    }

    private String publicCall(String fields) throws IOException {
        try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
            caller.send("GET /echo HTTP/1.1\r\nHost: open.example\r\n" + fields);
            caller.send("Connection: close\r\n\r\n");
            return caller.readAll();
        }
    }

    private HttpRequest.Builder request() {
        return TestInstallation.request(ingress, "/echo").GET();
    }

    private void assertRefused(HttpRequest.Builder request) {
        HttpResponse<String> answer = installation.send(request.build());
        assertThat(answer.statusCode()).isEqualTo(401);
        assertThat(answer.headers().firstValue("Dogwoodwood-Outcome")).hasValue("not-run");
        assertThat(answer.headers().firstValue("WWW-Authenticate")).hasValue("Bearer");
        assertThat(answer.body()).contains("UNKNOWN_ACCOUNT_KEY").doesNotContain(UNKNOWN, KEY);
    }

    private String received() {
        List<String> requests = target.receivedRequests();
        return requests.get(requests.size() - 1).toLowerCase(Locale.ROOT);
    }
}
