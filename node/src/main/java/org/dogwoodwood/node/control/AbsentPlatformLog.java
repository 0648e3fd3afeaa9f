package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;

/** The log of a node without a configured platform log; reads and appends always fail. */
final class AbsentPlatformLog implements PlatformLog {

    @Override
    public Future<Long> append(String stream, String subject, String publicationId, byte[] data) {
        return unavailable();
    }

    @Override
    public Future<Batch> read(String stream, long from, int max, long waitMillis) {
        return unavailable();
    }

    @Override
    public Future<Void> close() {
        return Future.succeededFuture();
    }

    private static <T> Future<T> unavailable() {
        return Future.failedFuture(
                new DogwoodwoodException(
                        ErrorCode.LOG_UNAVAILABLE, "No platform log is configured."));
    }
}
