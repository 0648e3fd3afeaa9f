package org.dogwoodwood.soak;

import java.net.ProtocolException;
import java.util.Optional;
import java.util.Set;

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

    private static final Set<Integer> PROMISES = Set.of(503, 429, 408, 421);
    private static final int SUCCESS_CLASS = 2;
    private static final int CLASS_SIZE = 100;

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
        return status / CLASS_SIZE == SUCCESS_CLASS;
    }

    /** Returns whether the status promises that the request has not run and never will. */
    boolean isPromise() {
        return PROMISES.contains(status);
    }
}
