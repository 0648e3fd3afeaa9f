package org.dogwoodwood.codec.wire;

import java.io.IOException;
import java.util.Optional;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.model.TargetAnswer;
import org.msgpack.core.MessagePackException;

/** Decodes frames and rejects malformed ones. */
public final class FrameDecoder {

    private FrameDecoder() {}

    /**
     * Checks the length prefix of a frame.
     *
     * @param length the length of the frame according to its prefix, in bytes
     * @return the same length
     * @throws DogwoodwoodException with {@link ErrorCode#FRAME_TOO_LARGE} or {@link
     *     ErrorCode#FRAME_MALFORMED} if the length is not valid for a frame
     */
    public static int checkLength(int length) {
        // The prefix is unsigned: a negative length represents 2 GiB or more.
        if (length < 0 || length > WireLimits.MAX_FRAME_BYTES) {
            throw new DogwoodwoodException(
                    ErrorCode.FRAME_TOO_LARGE,
                    "A frame of "
                            + Integer.toUnsignedString(length)
                            + " bytes exceeds "
                            + WireLimits.MAX_FRAME_BYTES
                            + ".");
        }
        if (length == 0) {
            throw new DogwoodwoodException(ErrorCode.FRAME_MALFORMED, "A frame is empty.");
        }
        return length;
    }

    /**
     * Decodes a frame.
     *
     * @param payload the encoded frame without its length prefix, not null
     * @throws DogwoodwoodException with {@link ErrorCode#FRAME_MALFORMED} or {@link
     *     ErrorCode#FRAME_TOO_LARGE} if the bytes are not exactly one frame
     */
    public static Frame decode(byte[] payload) {
        checkLength(payload.length);
        try (BoundedReader reader = BoundedReader.of(payload)) {
            int elements = reader.readArrayHeader();
            int type = reader.readInt();
            Frame frame = decode(reader, type, elements);
            reader.checkEnd();
            return frame;
        } catch (MessagePackException | IllegalArgumentException | IOException e) {
            throw new DogwoodwoodException(
                    ErrorCode.FRAME_MALFORMED, "A frame cannot be decoded: " + e.getMessage(), e);
        }
    }

    /**
     * Decodes the attempt of a call or an answer from the beginning of its frame.
     *
     * @param start the first bytes of the encoded frame without its length prefix, not null
     * @return the attempt, or empty if the frame is of another type
     * @throws DogwoodwoodException with {@link ErrorCode#FRAME_MALFORMED} if the bytes do not begin
     *     a frame
     */
    public static Optional<AttemptId> decodeAttempt(byte[] start) {
        try (BoundedReader reader = BoundedReader.of(start)) {
            reader.readArrayHeader();
            int type = reader.readInt();
            boolean hasAttempt = type == CallFrame.TYPE || type == AnswerFrame.TYPE;
            return hasAttempt ? Optional.of(reader.readAttempt()) : Optional.empty();
        } catch (MessagePackException | IllegalArgumentException | IOException e) {
            throw new DogwoodwoodException(
                    ErrorCode.FRAME_MALFORMED, "A frame cannot be decoded: " + e.getMessage(), e);
        }
    }

    private static Frame decode(BoundedReader reader, int type, int elements) throws IOException {
        return switch (type) {
            case HelloFrame.TYPE -> {
                // Releases with protocol version 2 and earlier send no data centre, and are
                // refused by their version rather than as malformed.
                boolean placed = elements != 5;
                checkElements(type, elements, placed ? 6 : 5);
                yield new HelloFrame(
                        reader.readInt(),
                        reader.readNodeId(),
                        reader.readLong(),
                        reader.readOptionalText(),
                        placed ? reader.readOptionalText() : Optional.empty());
            }
            case PingFrame.TYPE -> {
                checkElements(type, elements, 2);
                yield PingFrame.of(reader.readLong());
            }
            case PongFrame.TYPE -> {
                checkElements(type, elements, 3);
                yield PongFrame.of(reader.readLong(), reader.readReport());
            }
            case CallFrame.TYPE -> {
                boolean hasAccount = elements == 18;
                checkElements(type, elements, hasAccount ? 18 : 17);
                yield readCall(reader, hasAccount);
            }
            case AnswerFrame.TYPE -> {
                checkElements(type, elements, 9);
                yield readAnswer(reader);
            }
            case CancelFrame.TYPE -> {
                checkElements(type, elements, 3);
                yield CancelFrame.of(reader.readAttempt());
            }
            case ResumeFrame.TYPE -> {
                checkElements(type, elements, 4);
                yield ResumeFrame.of(reader.readAttempt(), reader.readLong());
            }
            default -> {
                checkElements(type, elements, 3);
                long requestNumber = reader.readLong();
                yield ControlFrame.of(type, reader.readBytes()).withRequestNumber(requestNumber);
            }
        };
    }

    private static CallFrame readCall(BoundedReader reader, boolean hasAccount) throws IOException {
        return new CallFrame(
                reader.readAttempt(),
                reader.readLong(),
                reader.readText(),
                reader.readText(),
                RequestContent.of(
                        reader.readText(),
                        reader.readText(),
                        reader.readHeaders(),
                        reader.readBytes()),
                reader.readRemainingMillis(),
                reader.readRemainingMillis(),
                reader.readBoolean(),
                reader.readOptionalText(),
                reader.readInt(),
                reader.readLong(),
                reader.readBoolean(),
                hasAccount ? Optional.of(reader.readText()) : Optional.empty());
    }

    private static AnswerFrame readAnswer(BoundedReader reader) throws IOException {
        AttemptId id = reader.readAttempt();
        Outcome outcome = reader.readEnum(EnumNumbers.OUTCOMES);
        int status = reader.readInt();
        TargetAnswer answer = TargetAnswer.of(status, reader.readHeaders(), reader.readBytes());
        int errorNumber = reader.readInt();
        boolean answered = outcome == Outcome.ANSWERED;
        if (answered && !TargetAnswer.isFinalStatus(status)) {
            throw new IllegalArgumentException("An answer has the HTTP status " + status + ".");
        }
        // Later releases may define more errors; the frame contains their outcome as well.
        ErrorCode error = ErrorCode.fromNumber(errorNumber).orElse(ErrorCode.OUTCOME_UNKNOWN);
        FinishedCall finished =
                new FinishedCall(
                        outcome,
                        answered ? Optional.of(answer) : Optional.empty(),
                        answered ? Optional.empty() : Optional.of(error));
        return AnswerFrame.of(id, finished, reader.readReport());
    }

    private static void checkElements(int type, int actual, int expected) {
        if (actual != expected) {
            throw new IllegalArgumentException(
                    "A frame of type "
                            + type
                            + " has "
                            + actual
                            + " elements instead of "
                            + expected
                            + ".");
        }
    }
}
