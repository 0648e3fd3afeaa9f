package org.dogwoodwood.codec.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.core.model.TargetState;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Guards against frames that change in transit and malformed ones that cause untyped errors. */
class FrameCodecTests {

    private static final Set<ErrorCode> REJECTION_CODES =
            EnumSet.of(ErrorCode.FRAME_MALFORMED, ErrorCode.FRAME_TOO_LARGE);
    private static final AttemptId ID = AttemptId.of(CallId.of(NodeId.of("in"), 7, 42), 3);
    private static final LoadReport REPORT =
            new LoadReport(NodeId.of("g"), 8, 9, 1, 2, 3, 4, 5, 0.25, TargetState.DRAINING);
    private static final List<HeaderField> HEADERS =
            List.of(HeaderField.of("A", "\u00e9"), HeaderField.of("a", ""));

    @Test
    void everyFrameRoundTrips() {
        for (Frame frame : frames()) {
            byte[] bytes = FrameEncoder.encode(frame);
            Frame decoded = decode(bytes);

            assertThat(decoded.type()).isEqualTo(frame.type());
            assertThat(FrameEncoder.encode(decoded)).isEqualTo(bytes);
            assertThat(decoded).usingRecursiveComparison().isEqualTo(frame);
        }
    }

    @Test
    void coversAllFifteenTypes() {
        assertThat(frames().stream().map(Frame::type).distinct().sorted())
                .containsExactly(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15);
    }

    @Test
    void damagedFramesCauseOnlyTypedErrors() {
        Random random = new Random(4_201);
        List<Frame> frames = frames();
        int rejected = 0;
        for (int round = 0; round < 60_000; round++) {
            Frame frame = frames.get(random.nextInt(frames.size()));
            rejected += isRejected(damage(payload(FrameEncoder.encode(frame)), random)) ? 1 : 0;
        }
        assertThat(rejected).isGreaterThan(20_000);
    }

    @Test
    void randomBytesCauseOnlyTypedErrors() {
        Random random = new Random(4_202);
        int rejected = 0;
        for (int round = 0; round < 60_000; round++) {
            byte[] bytes = new byte[1 + random.nextInt(64)];
            random.nextBytes(bytes);
            // A valid header and type number let the bytes pass the first checks.
            if (round % 2 == 0 && bytes.length > 2) {
                bytes[0] = (byte) (0x90 + random.nextInt(16));
                bytes[1] = (byte) random.nextInt(17);
            }
            rejected += isRejected(bytes) ? 1 : 0;
        }
        assertThat(rejected).isGreaterThan(55_000);
    }

    @Test
    void rejectsDeclaredSizesAboveTheFrameLength() {
        // [8, 0, bin32 of 2 GiB] and [8, 0, bin32 of 16 MiB] in a frame of a few bytes.
        byte[] huge = {(byte) 0x93, 8, 0, (byte) 0xc6, 0x7f, -1, -1, -1, 1};
        byte[] large = {(byte) 0x93, 8, 0, (byte) 0xc6, 1, 0, 0, 0, 1};
        // A CALL that declares 2^31 - 1 elements is rejected before memory is allocated.
        byte[] list = {(byte) 0xdd, 0x7f, -1, -1, -1, 4};

        assertThat(isRejected(huge) && isRejected(large) && isRejected(list)).isTrue();
    }

    @Test
    void rejectsInvalidFrameLengths() {
        for (int length : new int[] {0, -1, Integer.MIN_VALUE, WireLimits.MAX_FRAME_BYTES + 1}) {
            assertThatThrownBy(() -> FrameDecoder.checkLength(length))
                    .isInstanceOfSatisfying(
                            DogwoodwoodException.class,
                            e -> assertThat(REJECTION_CODES).contains(e.code()));
        }
        assertThat(FrameDecoder.checkLength(1)).isEqualTo(1);
    }

    @Test
    void rejectsEncodingOfOversizedFrames() {
        Frame frame = ControlFrame.of(8, new byte[WireLimits.MAX_FRAME_BYTES]);

        assertThatThrownBy(() -> FrameEncoder.encode(frame))
                .isInstanceOfSatisfying(
                        DogwoodwoodException.class,
                        e -> assertThat(e.code()).isEqualTo(ErrorCode.FRAME_TOO_LARGE));
    }

    /** Guards against a status that reaches a caller through another node. */
    @Test
    void rejectsAnAnswerWithAStatusThatHttpDoesNotHave() {
        for (int status : new int[] {0, 99, 101, 199, 600, 999}) {
            TargetAnswer answer = TargetAnswer.of(status, HEADERS, new byte[1]);
            Frame frame = AnswerFrame.of(ID, FinishedCall.answered(answer), Optional.empty());

            assertThat(isRejected(payload(FrameEncoder.encode(frame)))).isTrue();
        }
    }

    /** A head of 16,384 bytes may have this many lines; it must also be served by another node. */
    @Test
    void carriesTheFieldsOfAPermittedHead() {
        List<HeaderField> fields = Collections.nCopies(5_461, HeaderField.of("a", ""));
        TargetAnswer answer = TargetAnswer.of(200, fields, new byte[0]);
        Frame frame = AnswerFrame.of(ID, FinishedCall.answered(answer), Optional.empty());

        assertThat(decode(FrameEncoder.encode(frame))).isInstanceOf(AnswerFrame.class);
    }

    /** Guards against an older peer that is refused as malformed, so that its version is hidden. */
    @Test
    void decodesHelloOfEarlierVersion() throws IOException {
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        packer.packArrayHeader(5).packInt(HelloFrame.TYPE).packInt(2);
        packer.packString("a").packLong(1).packNil();

        assertThat(FrameDecoder.decode(packer.toByteArray()))
                .isEqualTo(
                        new HelloFrame(2, NodeId.of("a"), 1, Optional.empty(), Optional.empty()));
    }

    @Test
    void toStringOmitsTheSecret() {
        assertThat(HelloFrame.of(NodeId.of("a"), 1, Optional.of("hidden")).toString())
                .doesNotContain("hidden");
    }

    private static List<Frame> frames() {
        RequestContent content = RequestContent.of("POST", "/p?q", HEADERS, new byte[] {1, 2});
        TargetAnswer answer = TargetAnswer.of(201, HEADERS, new byte[300]);
        Frame call =
                new CallFrame(
                        ID, 5, "s", "c", content, 900, 300, false, Optional.of("k"), 2, -3, true);
        Frame keyless =
                new CallFrame(ID, 5, "s", "c", content, 0, 0, true, Optional.empty(), 0, 3, false);
        Frame withAccount =
                new CallFrame(
                        ID,
                        5,
                        "s",
                        "c",
                        content,
                        0,
                        0,
                        true,
                        Optional.empty(),
                        0,
                        3,
                        false,
                        Optional.of("a"));
        Frame[] typed = {
            HelloFrame.of(NodeId.of("a"), 1, Optional.of("s")),
            HelloFrame.of(NodeId.of("a"), -1, Optional.empty()),
            HelloFrame.of(NodeId.of("a"), 1, Optional.empty(), Optional.of("d")),
            PingFrame.of(Long.MAX_VALUE),
            PongFrame.of(2, Optional.of(REPORT)),
            PongFrame.of(2, Optional.empty()),
            call,
            keyless,
            withAccount,
            AnswerFrame.of(ID, FinishedCall.answered(answer), Optional.of(REPORT)),
            AnswerFrame.of(ID, FinishedCall.notRun(ErrorCode.GUARD_BUSY), Optional.of(REPORT)),
            AnswerFrame.of(ID, FinishedCall.unknown(ErrorCode.TARGET_FAILED), Optional.empty()),
            CancelFrame.of(ID),
            ResumeFrame.of(ID, 5)
        };
        Frame[] control = new Frame[8];
        Arrays.setAll(
                control, i -> ControlFrame.of(8 + i, new byte[] {(byte) i}).withRequestNumber(i));
        return Stream.concat(Arrays.stream(typed), Arrays.stream(control)).toList();
    }

    private static byte[] damage(byte[] payload, Random random) {
        byte[] bytes = payload;
        switch (random.nextInt(3)) {
            case 0 -> bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length));
            case 1 -> bytes = Arrays.copyOf(bytes, bytes.length + 1 + random.nextInt(4));
            default -> {
                for (int i = 0; i <= random.nextInt(4); i++) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                }
            }
        }
        return bytes;
    }

    /** Returns whether the payload is rejected; any untyped error fails the test. */
    private static boolean isRejected(byte[] payload) {
        try {
            FrameDecoder.decode(payload);
            return false;
        } catch (DogwoodwoodException e) {
            assertThat(REJECTION_CODES).contains(e.code());
            return true;
        }
    }

    private static Frame decode(byte[] encoded) {
        return FrameDecoder.decode(payload(encoded));
    }

    private static byte[] payload(byte[] encoded) {
        return Arrays.copyOfRange(encoded, WireLimits.PREFIX_BYTES, encoded.length);
    }
}
