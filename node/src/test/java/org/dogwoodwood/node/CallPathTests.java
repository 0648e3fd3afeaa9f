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
        TestTarget target = installation.target();
        TestNode guard = installation.guard("guard", target);
        TestNode ingress = installation.ingress("ingress");
        installation.route(guard);

        HttpResponse<String> response = installation.post(ingress, "/echo?x=1", "hello");

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("hello");
        assertThat(response.headers().firstValue("X-Echo")).hasValue("2");
        assertThat(response.headers().firstValue("X-Private")).isEmpty();
        assertThat(target.seen()).hasSize(1);
        assertThat(target.seen().get(0))
                .startsWith("POST /echo?x=1\n")
                .contains("Dogwoodwood-Timeout-Ms=")
                .contains("Dogwoodwood-Call-Id=ingress/1/1")
                .contains("Dogwoodwood-Depth=1");
    }
}
