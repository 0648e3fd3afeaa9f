package org.dogwoodwood.soak;

import java.net.ProtocolException;
import java.util.Optional;

/**
 * An answer as received by a client.
 *
 * @param id the id of the request
 * @param unsafe whether the request may run at most once
 * @param node the name of the node that answered
 * @param answeredId the id in the answer, if any
 * @param status the status
 * @param stamp the stamp, if any
 * @param bodyMatches whether the body is complete and the one of the stamp
 */
record ReceivedAnswer(
        String id,
        boolean unsafe,
        String node,
        Optional<String> answeredId,
        int status,
        Optional<String> stamp,
        boolean bodyMatches) {

    static ReceivedAnswer of(ClientRequest request, String node, HttpMessage answer)
            throws ProtocolException {
        Optional<String> stamp = answer.field(PlatformNames.RESPONSE_STAMP);
        boolean matches =
                stamp.map(StampedBody::of).filter(answer.body()::equals).isPresent()
                        && answer.complete();
        return new ReceivedAnswer(
                request.id(),
                request.unsafe(),
                node,
                answer.field(PlatformNames.REQUEST_ID),
                answer.status(),
                stamp,
                matches);
    }

    boolean isSuccess() {
        return status / 100 == 2;
    }

    /** Returns whether the status promises that the request has not run and never will. */
    boolean isPromise() {
        return status == 503 || status == 429 || status == 408 || status == 421;
    }
}
