package org.dogwoodwood.codec.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.TargetAnswer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Encodes frames as MessagePack arrays with a length prefix. */
public final class FrameEncoder {

    private static final byte[] NO_BODY = new byte[0];

    private FrameEncoder() {}

    /**
     * Encodes a frame.
     *
     * @param frame the frame, not null
     * @return the length prefix and the encoded frame
     * @throws DogwoodwoodException with {@link ErrorCode#FRAME_TOO_LARGE} if the frame exceeds
     *     {@link WireLimits}
     */
    public static byte[] encode(Frame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.writePayload(new byte[WireLimits.PREFIX_BYTES]);
            pack(packer, frame);
            byte[] encoded = packer.toByteArray();
            int length = encoded.length - WireLimits.PREFIX_BYTES;
            checkSize("The frame", length, WireLimits.MAX_FRAME_BYTES);
            ByteBuffer.wrap(encoded).putInt(length);
            return encoded;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void pack(MessageBufferPacker packer, Frame frame) throws IOException {
        if (frame instanceof CallFrame call) {
            packCall(packer, call);
        } else if (frame instanceof AnswerFrame answer) {
            packAnswer(packer, answer);
        } else if (frame instanceof HelloFrame hello) {
            packHello(packer, hello);
        } else if (frame instanceof PingFrame ping) {
            packer.packArrayHeader(2).packInt(PingFrame.TYPE).packLong(ping.sequence());
        } else if (frame instanceof PongFrame pong) {
            packer.packArrayHeader(3).packInt(PongFrame.TYPE).packLong(pong.sequence());
            packReport(packer, pong.report());
        } else if (frame instanceof CancelFrame cancel) {
            packer.packArrayHeader(3).packInt(CancelFrame.TYPE);
            packAttempt(packer, cancel.id());
        } else if (frame instanceof ResumeFrame resume) {
            packer.packArrayHeader(4).packInt(ResumeFrame.TYPE);
            packAttempt(packer, resume.id());
            packer.packLong(resume.guardIncarnation());
        } else if (frame instanceof ControlFrame control) {
            packer.packArrayHeader(3).packInt(control.type()).packLong(control.requestNumber());
            packBytes(packer, control.payload());
        }
    }

    private static void packHello(MessageBufferPacker packer, HelloFrame hello) throws IOException {
        packer.packArrayHeader(6).packInt(HelloFrame.TYPE).packInt(hello.protocolVersion());
        packText(packer, hello.node().value());
        packer.packLong(hello.incarnation());
        packOptionalText(packer, hello.sharedSecret());
        packOptionalText(packer, hello.dataCentre());
    }

    private static void packCall(MessageBufferPacker packer, CallFrame call) throws IOException {
        // Calls without an account are encoded as by earlier releases.
        packer.packArrayHeader(call.account().isPresent() ? 18 : 17).packInt(CallFrame.TYPE);
        packAttempt(packer, call.id());
        packer.packLong(call.expectedIncarnation());
        packText(packer, call.service());
        packText(packer, call.callClass());
        packText(packer, call.request().method());
        packText(packer, call.request().path());
        packHeaders(packer, call.request().headers());
        packBytes(packer, call.request().body());
        packer.packLong(call.remainingMillis()).packLong(call.objectiveMillis());
        packer.packBoolean(call.idempotent());
        packOptionalText(packer, call.key());
        packer.packInt(call.depth()).packLong(call.fingerprint()).packBoolean(call.mayQueue());
        if (call.account().isPresent()) {
            packText(packer, call.account().get());
        }
    }

    private static void packAnswer(MessageBufferPacker packer, AnswerFrame frame)
            throws IOException {
        FinishedCall finished = frame.finished();
        Optional<TargetAnswer> answer = finished.answer();
        packer.packArrayHeader(9).packInt(AnswerFrame.TYPE);
        packAttempt(packer, frame.id());
        packer.packInt(EnumNumbers.OUTCOMES.indexOf(finished.outcome()));
        packer.packInt(answer.map(TargetAnswer::status).orElse(0));
        packHeaders(packer, answer.map(TargetAnswer::headers).orElse(List.of()));
        packBytes(packer, answer.map(TargetAnswer::body).orElse(NO_BODY));
        packer.packInt(finished.error().map(ErrorCode::number).orElse(0));
        packReport(packer, frame.report());
    }

    private static void packAttempt(MessageBufferPacker packer, AttemptId id) throws IOException {
        packer.packArrayHeader(3);
        packText(packer, id.call().ingress().value());
        packer.packLong(id.call().incarnation()).packLong(id.call().counter());
        packer.packInt(id.attempt());
    }

    private static void packReport(MessageBufferPacker packer, Optional<LoadReport> optional)
            throws IOException {
        if (optional.isEmpty()) {
            packer.packNil();
            return;
        }
        LoadReport report = optional.get();
        packer.packArrayHeader(11);
        packText(packer, report.guard().value());
        packer.packLong(report.incarnation()).packLong(report.sequence());
        packer.packInt(report.inFlight()).packInt(report.queued());
        packer.packInt(report.limit()).packInt(report.slots());
        packer.packLong(report.serviceTimeMicros()).packDouble(report.errorRatio());
        packer.packInt(EnumNumbers.STATES.indexOf(report.state()));
        packer.packDouble(report.slowdown());
    }

    private static void packHeaders(MessageBufferPacker packer, List<HeaderField> headers)
            throws IOException {
        checkSize("The header list", headers.size(), WireLimits.MAX_HEADERS);
        packer.packArrayHeader(2 * headers.size());
        for (HeaderField header : headers) {
            packText(packer, header.name());
            packText(packer, header.value());
        }
    }

    private static void packOptionalText(MessageBufferPacker packer, Optional<String> text)
            throws IOException {
        if (text.isPresent()) {
            packText(packer, text.get());
        } else {
            packer.packNil();
        }
    }

    private static void packText(MessageBufferPacker packer, String text) throws IOException {
        // UTF-8 needs at most three bytes per char, so that shorter strings need no check.
        if (text.length() > WireLimits.MAX_TEXT_BYTES / 3) {
            checkSize(
                    "A string",
                    text.getBytes(StandardCharsets.UTF_8).length,
                    WireLimits.MAX_TEXT_BYTES);
        }
        packer.packString(text);
    }

    private static void packBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
        checkSize("A body", bytes.length, WireLimits.MAX_FRAME_BYTES);
        packer.packBinaryHeader(bytes.length).addPayload(bytes);
    }

    private static void checkSize(String subject, int size, int limit) {
        if (size > limit) {
            throw new DogwoodwoodException(
                    ErrorCode.FRAME_TOO_LARGE,
                    subject + " has size " + size + ", above " + limit + ".");
        }
    }
}
