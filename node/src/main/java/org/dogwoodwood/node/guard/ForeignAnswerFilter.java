package org.dogwoodwood.node.guard;

import static org.dogwoodwood.core.Preconditions.checkState;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import org.dogwoodwood.node.http.InterimResponses;

/**
 * Drops answers on a connection to a target that name another request than the one that waits, so
 * that a second copy of an earlier answer costs no later request its connection.
 *
 * <p>HTTP/1.1 matches answers with requests by their order alone. This is safe only with targets
 * that repeat the id of the request in each answer.
 */
final class ForeignAnswerFilter extends ChannelDuplexHandler {

    /** The largest number of answers that are dropped before the one to a request arrives. */
    static final int MAX_DROPPED_ANSWERS = 16;

    private static final int MAX_DROPPED_BYTES = 1 << 20;

    // The handler of Vert.x that matches answers with requests.
    private static final String MATCHING_HANDLER = "handler";

    private final HttpConnection connection;
    private final String idHeader;
    private final TargetAnswerLog answerLog;
    // The id of the request that has not been answered, or null if there is none.
    private String waitingId;
    private boolean interim;
    private boolean dropping;
    private int droppedAnswers;
    private int droppedBytes;
    // The length of an answer to HEAD does not tell where the answer ends.
    private boolean headSent;

    private ForeignAnswerFilter(
            HttpConnection connection, String idHeader, TargetAnswerLog answerLog) {
        this.connection = connection;
        this.idHeader = idHeader;
        this.answerLog = answerLog;
    }

    /**
     * Installs a filter on a connection that has just been opened.
     *
     * @param idHeader the header field with the id, in requests and answers, not null
     * @param answerLog logs the dropped answers, not null
     */
    static void install(HttpConnection connection, String idHeader, TargetAnswerLog answerLog) {
        checkState(
                connection instanceof ConnectionBase,
                "Unsupported connection class of Vert.x; adapt ForeignAnswerFilter to it.");
        ((ConnectionBase) connection)
                .channel()
                .pipeline()
                .addBefore(
                        MATCHING_HANDLER,
                        ForeignAnswerFilter.class.getSimpleName(),
                        new ForeignAnswerFilter(connection, idHeader, answerLog));
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        if (message instanceof HttpRequest request) {
            waitingId = request.headers().get(idHeader);
            headSent |= request.method().equals(HttpMethod.HEAD);
            droppedAnswers = 0;
            droppedBytes = 0;
        }
        super.write(context, message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpResponse response && isForeign(response)) {
            startDropping(response);
        }
        if (dropping) {
            drop(message);
            return;
        }
        noteAnswer(message);
        super.channelRead(context, message);
    }

    private boolean isForeign(HttpResponse response) {
        String answeredId = response.headers().get(idHeader);
        return !headSent
                && response.decoderResult().isSuccess()
                && answeredId != null
                && !answeredId.equals(waitingId);
    }

    private void startDropping(HttpResponse response) {
        dropping = true;
        droppedAnswers++;
        answerLog.onForeign(
                waitingId == null ? "" : waitingId,
                connection.localAddress().port(),
                response.status().code(),
                response.headers().get(idHeader));
    }

    private void drop(Object message) {
        if (message instanceof HttpContent content) {
            droppedBytes += content.content().readableBytes();
        }
        boolean broken =
                message instanceof HttpContent content && content.decoderResult().isFailure();
        dropping = !(message instanceof LastHttpContent);
        ReferenceCountUtil.release(message);
        if (broken || droppedAnswers > MAX_DROPPED_ANSWERS || droppedBytes > MAX_DROPPED_BYTES) {
            connection.close();
        }
    }

    /** Notes the end of the final answer to the request that waits. */
    private void noteAnswer(Object message) {
        if (message instanceof HttpResponse response) {
            interim = InterimResponses.isInterim(response.status().code());
        }
        if (message instanceof LastHttpContent && !interim) {
            waitingId = null;
        }
    }
}
