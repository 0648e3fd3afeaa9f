package org.dogwoodwood.codec.wire;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.dogwoodwood.core.model.HeaderField;

/**
 * The texts that both ends of a connection know by number, in one direction. Not thread-safe.
 *
 * <p>Names of nodes, services, classes, methods and header fields repeat in each call, and many
 * values of header fields do. A text is told once in a {@link TextsFrame}, before the first frame
 * that names it by number, so that a frame that is refused or skipped changes nothing.
 */
public final class KnownTexts {

    /** The maximum number of texts, which bounds the memory of each connection. */
    static final int MAX_TEXTS = 256;

    static final int MAX_TEXT_LENGTH = 200;

    // The number of a text takes up to three bytes.
    private static final int MIN_TEXT_LENGTH = 4;

    private static final KnownTexts NONE = new KnownTexts();

    private final List<String> texts = new ArrayList<>();
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<String, String> lastValues = new HashMap<>();

    private KnownTexts() {}

    /** Returns an empty table. */
    public static KnownTexts create() {
        return new KnownTexts();
    }

    static KnownTexts none() {
        return NONE;
    }

    /**
     * Adds the texts that a frame will name by number.
     *
     * @return the texts to be told to the receiver before the frame, in order
     */
    public List<String> learn(Frame frame) {
        if (texts.size() >= MAX_TEXTS) {
            return List.of();
        }
        Set<String> found = new LinkedHashSet<>();
        if (frame instanceof CallFrame call) {
            found.add(call.id().call().ingress().value());
            found.add(call.service());
            found.add(call.callClass());
            call.account().ifPresent(found::add);
            found.add(call.request().method());
            addHeaders(call.request().headers(), found);
        } else if (frame instanceof AnswerFrame answer) {
            found.add(answer.id().call().ingress().value());
            answer.report().ifPresent(report -> found.add(report.guard().value()));
            answer.finished().answer().ifPresent(given -> addHeaders(given.headers(), found));
        } else if (frame instanceof PongFrame pong) {
            pong.report().ifPresent(report -> found.add(report.guard().value()));
        }
        List<String> news =
                found.stream()
                        .filter(text -> isWorthwhile(text) && !numbers.containsKey(text))
                        .limit(MAX_TEXTS - texts.size())
                        .toList();
        add(news);
        return news;
    }

    /**
     * Adds texts that the sender has told.
     *
     * @throws IllegalArgumentException if the table would become too large
     */
    public void add(List<String> news) {
        boolean tooLong = news.stream().anyMatch(text -> text.length() > MAX_TEXT_LENGTH);
        if (tooLong || texts.size() + news.size() > MAX_TEXTS) {
            throw new IllegalArgumentException("A peer tells too many or too long texts.");
        }
        for (String text : news) {
            numbers.put(text, texts.size());
            texts.add(text);
        }
    }

    OptionalInt numberOf(String text) {
        Integer number = numbers.get(text);
        return number == null ? OptionalInt.empty() : OptionalInt.of(number);
    }

    String get(int number) {
        if (number < 0 || number >= texts.size()) {
            throw new IllegalArgumentException("The text " + number + " was not told.");
        }
        return texts.get(number);
    }

    // A value is told when it repeats, since many values occur only once.
    private void addHeaders(List<HeaderField> headers, Set<String> found) {
        for (HeaderField header : headers) {
            String value = header.value();
            found.add(header.name());
            if (isWorthwhile(value) && isWorthwhile(header.name())) {
                if (value.equals(lastValues.get(header.name()))) {
                    found.add(value);
                } else if (lastValues.size() < MAX_TEXTS || lastValues.containsKey(header.name())) {
                    lastValues.put(header.name(), value);
                }
            }
        }
    }

    private static boolean isWorthwhile(String text) {
        return text.length() >= MIN_TEXT_LENGTH && text.length() <= MAX_TEXT_LENGTH;
    }
}
