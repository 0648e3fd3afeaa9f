package org.dogwoodwood.codec.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.core.model.TargetState;
import org.junit.jupiter.api.Test;

/** Guards against texts that are sent in full with each call, and against mixed-up texts. */
class KnownTextsTests {

    private final KnownTexts sent = KnownTexts.create();
    private final KnownTexts received = KnownTexts.create();

    /** Guards against calls and answers that repeat the names and values of header fields. */
    @Test
    void laterCallsAndAnswersTakeFewerBytes() {
        List<Integer> calls = new ArrayList<>();
        List<Integer> answers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            calls.add(transfer(call(i)));
            answers.add(transfer(answer(i)));
        }
        int callInFull = FrameEncoder.encode(call(2)).length;
        int answerInFull = FrameEncoder.encode(answer(2)).length;
        System.out.printf(
                "known texts: call=%s in_full=%d answer=%s in_full=%d%n",
                calls, callInFull, answers, answerInFull);

        assertThat(calls.get(2)).isLessThan(callInFull / 2);
        assertThat(answers.get(2)).isLessThan(answerInFull * 6 / 10);
    }

    /** Guards against a receiver whose memory a peer can fill. */
    @Test
    void refusesTooManyTexts() {
        List<String> half =
                IntStream.range(0, KnownTexts.MAX_TEXTS / 2 + 1).mapToObj(i -> "t" + i).toList();
        received.add(half);

        assertThatThrownBy(() -> received.add(half)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> received.add(List.of("x".repeat(KnownTexts.MAX_TEXT_LENGTH + 1))))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /** Guards against a number that was not told, which would give another text or a crash. */
    @Test
    void refusesNumbersThatWereNotTold() {
        sent.learn(call(1));
        byte[] encoded = FrameEncoder.encode(call(1), sent);

        assertThatThrownBy(() -> FrameDecoder.decode(payload(encoded), received))
                .isInstanceOf(DogwoodwoodException.class);
    }

    /** Guards against a full table that changes the number of a text. */
    @Test
    void fullTableKeepsItsTexts() {
        for (int i = 0; i < KnownTexts.MAX_TEXTS; i++) {
            HeaderField header = HeaderField.of("header-" + i, "value");
            transfer(callWith(i, List.of(header)));
        }

        transfer(call(7));
    }

    /** Sends a frame as a connection does; returns the bytes that it takes. */
    private int transfer(Frame frame) {
        int bytes = 0;
        List<String> news = sent.learn(frame);
        if (!news.isEmpty()) {
            byte[] told = FrameEncoder.encode(new TextsFrame(news), sent);
            received.add(((TextsFrame) FrameDecoder.decode(payload(told), received)).texts());
            bytes += told.length;
        }
        byte[] encoded = FrameEncoder.encode(frame, sent);
        Frame decoded = FrameDecoder.decode(payload(encoded), received);
        assertThat(FrameEncoder.encode(decoded)).isEqualTo(FrameEncoder.encode(frame));
        return bytes + encoded.length;
    }

    private static CallFrame call(int number) {
        return callWith(
                number,
                List.of(
                        HeaderField.of("Host", "reservations.example"),
                        HeaderField.of("User-Agent", "swim-guide/4.2"),
                        HeaderField.of("Accept", "application/json"),
                        HeaderField.of("Content-Type", "application/json"),
                        HeaderField.of("X-Example-Request-Id", "request-00000" + number),
                        HeaderField.of("X-Example-Deadline-Ms", "150" + number)));
    }

    private static CallFrame callWith(int number, List<HeaderField> headers) {
        return new CallFrame(
                AttemptId.of(CallId.of(NodeId.of("vm-pnw-a-17"), 1_796_600_000_000L, number), 1),
                1_796_600_000_500L,
                "reservations",
                "priority-1",
                RequestContent.of("POST", "/outings/" + number, headers, new byte[0]),
                1_500,
                400,
                false,
                Optional.empty(),
                1,
                Long.MAX_VALUE - number,
                true);
    }

    private static AnswerFrame answer(int number) {
        List<HeaderField> headers =
                List.of(
                        HeaderField.of("Content-Type", "application/json"),
                        HeaderField.of("X-Example-Instance-Id", "i-4711"),
                        HeaderField.of("X-Example-Request-Id", "request-00000" + number),
                        HeaderField.of("X-Example-Server-Load", number + ",0,4,100"));
        LoadReport report =
                new LoadReport(
                        NodeId.of("vm-pnw-b-3"),
                        1_796_600_000_500L,
                        number,
                        1,
                        0,
                        4,
                        6,
                        12_000,
                        0,
                        TargetState.WARM,
                        1,
                        0);
        return AnswerFrame.of(
                call(number).id(),
                FinishedCall.answered(TargetAnswer.of(200, headers, new byte[0])),
                Optional.of(report));
    }

    private static byte[] payload(byte[] encoded) {
        return Arrays.copyOfRange(encoded, WireLimits.PREFIX_BYTES, encoded.length);
    }
}
