package org.dogwoodwood.codec.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
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
        return encode(frame, KnownTexts.none());
    }

    /**
     * Encodes a frame for a receiver that knows texts by number.
     *
     * @param frame the frame, not null
     * @param texts the texts that the receiver knows, not null
     * @return the length prefix and the encoded frame
     * @throws DogwoodwoodException with {@link ErrorCode#FRAME_TOO_LARGE} if the frame exceeds
     *     {@link WireLimits}
     */
    public static byte[] encode(Frame frame, KnownTexts texts) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.writePayload(new byte[WireLimits.PREFIX_BYTES]);
            pack(packer, frame, texts);
            byte[] encoded = packer.toByteArray();
            int length = encoded.length - WireLimits.PREFIX_BYTES;
            checkSize("The frame", length, WireLimits.MAX_FRAME_BYTES);
            ByteBuffer.wrap(encoded).putInt(length);
            return encoded;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void pack(MessageBufferPacker packer, Frame frame, KnownTexts texts)
            throws IOException {
        if (frame instanceof CallFrame call) {
            packCall(packer, call, texts);
        } else if (frame instanceof AnswerFrame answer) {
            packAnswer(packer, answer, texts);
        } else if (frame instanceof HelloFrame hello) {
            packHello(packer, hello);
        } else if (frame instanceof PingFrame ping) {
            packer.packArrayHeader(2).packInt(PingFrame.TYPE).packLong(ping.sequence());
        } else if (frame instanceof PongFrame pong) {
            packer.packArrayHeader(3).packInt(PongFrame.TYPE).packLong(pong.sequence());
            packReport(packer, pong.report(), texts);
        } else if (frame instanceof CancelFrame cancel) {
            packer.packArrayHeader(3).packInt(CancelFrame.TYPE);
            packAttempt(packer, cancel.id(), texts);
        } else if (frame instanceof ResumeFrame resume) {
            packer.packArrayHeader(4).packInt(ResumeFrame.TYPE);
            packAttempt(packer, resume.id(), texts);
            packer.packLong(resume.guardIncarnation());
        } else if (frame instanceof TextsFrame told) {
            packer.packArrayHeader(2).packInt(TextsFrame.TYPE);
            packer.packArrayHeader(told.texts().size());
            for (String text : told.texts()) {
                packText(packer, text);
            }
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

    private static void packCall(MessageBufferPacker packer, CallFrame call, KnownTexts texts)
            throws IOException {
        // Calls without an account are encoded as by earlier releases.
        packer.packArrayHeader(call.account().isPresent() ? 18 : 17).packInt(CallFrame.TYPE);
        packAttempt(packer, call.id(), texts);
        packer.packLong(call.expectedIncarnation());
        packText(packer, call.service(), texts);
        packText(packer, call.callClass(), texts);
        packText(packer, call.request().method(), texts);
        packText(packer, call.request().path());
        packHeaders(packer, call.request().headers(), texts);
        packBytes(packer, call.request().body());
        packer.packLong(call.remainingMillis()).packLong(call.objectiveMillis());
        packer.packBoolean(call.idempotent());
        packOptionalText(packer, call.key());
        packer.packInt(call.depth()).packLong(call.fingerprint()).packBoolean(call.mayQueue());
        if (call.account().isPresent()) {
            packText(packer, call.account().get(), texts);
        }
    }

    private static void packAnswer(MessageBufferPacker packer, AnswerFrame frame, KnownTexts texts)
            throws IOException {
        FinishedCall finished = frame.finished();
        Optional<TargetAnswer> answer = finished.answer();
        packer.packArrayHeader(9).packInt(AnswerFrame.TYPE);
        packAttempt(packer, frame.id(), texts);
        packer.packInt(EnumNumbers.OUTCOMES.indexOf(finished.outcome()));
        packer.packInt(answer.map(TargetAnswer::status).orElse(0));
        packHeaders(packer, answer.map(TargetAnswer::headers).orElse(List.of()), texts);
        packBytes(packer, answer.map(TargetAnswer::body).orElse(NO_BODY));
        packer.packInt(finished.error().map(ErrorCode::number).orElse(0));
        packReport(packer, frame.report(), texts);
    }

    private static void packAttempt(MessageBufferPacker packer, AttemptId id, KnownTexts texts)
            throws IOException {
        packer.packArrayHeader(3);
        packText(packer, id.call().ingress().value(), texts);
        packer.packLong(id.call().incarnation()).packLong(id.call().counter());
        packer.packInt(id.attempt());
    }

    private static void packReport(
            MessageBufferPacker packer, Optional<LoadReport> optional, KnownTexts texts)
            throws IOException {
        if (optional.isEmpty()) {
            packer.packNil();
            return;
        }
        LoadReport report = optional.get();
        packer.packArrayHeader(12);
        packText(packer, report.guard().value(), texts);
        packer.packLong(report.incarnation()).packLong(report.sequence());
        packer.packInt(report.inFlight()).packInt(report.queued());
        packer.packInt(report.limit()).packInt(report.slots());
        packer.packLong(report.serviceTimeMicros()).packDouble(report.errorRatio());
        packer.packInt(EnumNumbers.STATES.indexOf(report.state()));
        packer.packDouble(report.slowdown()).packInt(report.stateVersion());
    }

    private static void packHeaders(
            MessageBufferPacker packer, List<HeaderField> headers, KnownTexts texts)
            throws IOException {
        checkSize("The header list", headers.size(), WireLimits.MAX_HEADERS);
        packer.packArrayHeader(2 * headers.size());
        for (HeaderField header : headers) {
            packText(packer, header.name(), texts);
            packText(packer, header.value(), texts);
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

    private static void packText(MessageBufferPacker packer, String text, KnownTexts texts)
            throws IOException {
        OptionalInt number = texts.numberOf(text);
        if (number.isPresent()) {
            packer.packInt(number.getAsInt());
        } else {
            packText(packer, text);
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
