package org.dogwoodwood.node.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.MultiMap;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a request getting the call of another request with equal contents. */
class RequestPipelineTests {

    private final RequestPipeline pipeline =
            new RequestPipeline(head -> Optional.empty(), new EarlyCalls(), () -> {});
    private final HttpRequest first = request();
    private final HttpRequest second = request();

    @Test
    void acceptsRequestsInTheOrderInWhichTheyWereDecoded() {
        pipeline.onHead(first);
        pipeline.onHead(second);

        assertThat(pipeline.isNext(headersOf(first))).isTrue();
        pipeline.onDispatched();
        assertThat(pipeline.isNext(headersOf(second))).isTrue();
    }

    @Test
    void acceptsNoRequestThatPassesAnother() {
        pipeline.onHead(first);
        pipeline.onHead(second);

        assertThat(pipeline.isNext(headersOf(second))).isFalse();
        assertThat(pipeline.describeNext()).isEqualTo("GET /echo");
    }

    @Test
    void acceptsNoRequestThatWasNotDecoded() {
        assertThat(pipeline.isNext(headersOf(first))).isFalse();
        assertThat(pipeline.describeNext()).isEqualTo("none");
        pipeline.onHead(first);
        assertThat(pipeline.isNext(headersOf(request()))).isFalse();
    }

    private static HttpRequest request() {
        // Vert.x decodes header fields into maps that are both its own and Netty's.
        HttpHeaders headers = (HttpHeaders) MultiMap.caseInsensitiveMultiMap();
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/echo", headers);
    }

    private static MultiMap headersOf(HttpRequest request) {
        return (MultiMap) request.headers();
    }
}
