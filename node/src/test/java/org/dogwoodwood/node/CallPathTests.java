package org.dogwoodwood.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against errors in forwarding a call through a remote guard, and its answer back. */
class CallPathTests {

    private final TestInstallation installation = new TestInstallation();

    @AfterEach
    void close() {
        installation.close();
    }

    @Test
    void forwardsACallThroughTheGuardOfAnotherNode() {
        TestTarget target = installation.startTarget();
        TestNode guard = installation.startGuard("guard", target);
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);

        HttpResponse<String> response = installation.post(ingress, "/echo?x=1", "hello");

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("hello");
        assertThat(response.headers().firstValue("X-Echo")).hasValue("2");
        assertThat(response.headers().firstValue("X-Private")).isEmpty();
        assertThat(target.receivedRequests()).hasSize(1);
        assertThat(target.receivedRequests().get(0))
                .startsWith("POST /echo?x=1\n")
                .contains("Dogwoodwood-Timeout-Ms=")
                .contains("Dogwoodwood-Call-Id=ingress/1/1")
                .contains("Dogwoodwood-Depth=1");
    }
}
