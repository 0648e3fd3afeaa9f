package org.dogwoodwood.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** A connection to a {@link StutteringTarget}, which serves one request at a time. */
final class TargetConnection {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int TIMEOUT = 504;
    private static final int BAD_REQUEST = 400;
    private static final String DEFAULT_DEADLINE = "2000";
    private static final byte[] NO_ANSWER =
            "~~ these bytes are no answer ~~\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final StutteringTarget target;
    private final Socket socket;
    private final int number;
    private byte[] heldForNextAnswer;

    TargetConnection(StutteringTarget target, Socket socket, int number) {
        this.target = target;
        this.socket = socket;
        this.number = number;
    }

    /** Serves requests until the connection ends. */
    void serve() {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (!socket.isClosed()) {
                HttpMessage request = HttpMessage.read(in).orElse(null);
                if (request == null) {
                    return;
                }
                serve(request);
            }
        } catch (IOException | InterruptedException e) {
            target.counts().add("target: connection broke");
        }
    }

    private void serve(HttpMessage request) throws IOException, InterruptedException {
        String id = request.field(PlatformNames.REQUEST_ID).orElse(null);
        if (request.path().equals(PlatformNames.HEALTH_PATH)) {
            write(BodyFraming.LENGTH.toBytes(head(OK), "healthy"));
        } else if (id == null) {
            String fields = PlatformNames.NOT_EXECUTED + ": 1\r\n";
            write(BodyFraming.LENGTH.toBytes(head(BAD_REQUEST) + fields, ""));
        } else {
            AnswerPlan plan = target.drawPlan();
            send(execute(request, id, plan), plan);
        }
    }

    private Run execute(HttpMessage request, String id, AnswerPlan plan)
            throws InterruptedException {
        int arrival = target.log().addArrival(id);
        boolean rejected = plan.rejected() || !target.takeSlot();
        int status = UNAVAILABLE;
        if (!rejected) {
            int deadline = deadlineMillis(request);
            Thread.sleep(Math.min(plan.runMillis(), deadline));
            status = plan.runMillis() > deadline ? TIMEOUT : plan.status();
            target.freeSlot();
        }
        target.counts().add("target: " + (rejected ? "rejected" : "ran, " + status));
        return target.log()
                .add(arrival, id, target.name(), number, status, rejected, plan.ending());
    }

    private static int deadlineMillis(HttpMessage request) {
        String text = request.field(PlatformNames.DEADLINE_MILLIS).orElse(DEFAULT_DEADLINE);
        return Math.max(0, (int) Double.parseDouble(text));
    }

    private void send(Run run, AnswerPlan plan) throws IOException {
        byte[] answer = plan.framing().toBytes(headOf(run), StampedBody.of(run.stamp()));
        sendHeldCopies(run.id());
        target.counts().add("target: answer " + plan.ending());
        switch (plan.ending()) {
            case WHOLE -> sendWhole(run, answer, plan);
            case LOST -> {
                target.holdForAttempt(run.id(), answer);
                socket.close();
            }
            case CUT -> {
                write(firstPart(answer));
                socket.close();
            }
            case RESET -> {
                write(firstPart(answer));
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case NO_ANSWER -> {
                write(NO_ANSWER);
                socket.close();
            }
            default -> throw new IllegalStateException("Unknown ending " + plan.ending());
        }
    }

    private void sendHeldCopies(String id) throws IOException {
        if (heldForNextAnswer != null) {
            target.counts().add("target: copy before the next answer");
            write(heldForNextAnswer);
            heldForNextAnswer = null;
        }
        byte[] held = target.takeHeldForAttempt(id).orElse(null);
        if (held != null) {
            target.counts().add("target: copy before the answer to the next attempt");
            write(held);
        }
    }

    private void sendWhole(Run run, byte[] answer, AnswerPlan plan) throws IOException {
        if (plan.copy() == AnswerCopy.BEFORE_NEXT_ATTEMPT) {
            target.holdForAttempt(run.id(), answer);
        }
        if (plan.copy() == AnswerCopy.BEFORE_NEXT_ANSWER) {
            heldForNextAnswer = answer;
        }
        if (plan.copy() == AnswerCopy.CUT_BEFORE_NEXT_ANSWER) {
            heldForNextAnswer = Arrays.copyOf(answer, plan.cutCopyBytes());
        }
        write(answer);
        if (plan.framing() == BodyFraming.UNTIL_CLOSE) {
            socket.close();
        }
        if (plan.copy() == AnswerCopy.AT_ONCE) {
            target.counts().add("target: copy at once");
            write(answer);
        }
        if (plan.copy() == AnswerCopy.CUT_AT_ONCE) {
            target.counts().add("target: cut copy at once");
            write(Arrays.copyOf(answer, plan.cutCopyBytes()));
        }
        if (plan.copy() == AnswerCopy.LATE) {
            var unused =
                    target.lateCopies()
                            .schedule(
                                    () -> sendLate(answer),
                                    plan.copyMillis(),
                                    TimeUnit.MILLISECONDS);
        }
    }

    private void sendLate(byte[] answer) {
        try {
            write(answer);
            target.counts().add("target: late copy");
        } catch (IOException e) {
            target.counts().add("target: late copy met a closed connection");
        }
    }

    // Also called by the thread that sends late copies.
    private synchronized void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    private static byte[] firstPart(byte[] answer) {
        return Arrays.copyOf(answer, answer.length - answer.length / 20 - 2);
    }

    private String headOf(Run run) {
        String fields =
                PlatformNames.REQUEST_ID
                        + ": "
                        + run.id()
                        + "\r\n"
                        + PlatformNames.RESPONSE_STAMP
                        + ": "
                        + run.stamp()
                        + "\r\n";
        String rejection = run.rejected() ? PlatformNames.NOT_EXECUTED + ": 1\r\n" : "";
        return head(run.status()) + fields + rejection;
    }

    private String head(int status) {
        return "HTTP/1.1 " + status + " Status\r\n" + target.commonFields();
    }
}
