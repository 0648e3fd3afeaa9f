package org.dogwoodwood.standins.target;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.function.Supplier;
import org.dogwoodwood.standins.support.Address;

/** Announces a target to the node beside it, periodically since either may restart. */
final class TargetAnnouncer {

    private static final long RETRY_INTERVAL_MILLIS = 200;
    private static final long RENEWAL_INTERVAL_MILLIS = 3_000;

    private final Vertx vertx;
    private final Address admin;
    private final Supplier<JsonObject> announcement;
    private final HttpClient client;
    private long timer;
    private boolean accepted;
    private boolean stopped;

    TargetAnnouncer(Vertx vertx, Address admin, Supplier<JsonObject> announcement) {
        this.vertx = vertx;
        this.admin = admin;
        this.announcement = announcement;
        this.client = vertx.createHttpClient();
    }

    void start() {
        announce();
    }

    void stop() {
        stopped = true;
        vertx.cancelTimer(timer);
        client.close();
    }

    boolean isAccepted() {
        return accepted;
    }

    /** Sends the current state; a failed announcement is retried. */
    void announce() {
        vertx.cancelTimer(timer);
        client.request(HttpMethod.POST, admin.port(), admin.host(), "/targets")
                .compose(
                        request ->
                                request.putHeader("Content-Type", "application/json")
                                        .send(announcement.get().toBuffer()))
                .map(response -> response.statusCode() < 300)
                .otherwise(false)
                .onSuccess(this::onAnswered);
    }

    private void onAnswered(boolean accepts) {
        accepted = accepts;
        if (!stopped) {
            long delay = accepts ? RENEWAL_INTERVAL_MILLIS : RETRY_INTERVAL_MILLIS;
            timer = vertx.setTimer(delay, id -> announce());
        }
    }
}
