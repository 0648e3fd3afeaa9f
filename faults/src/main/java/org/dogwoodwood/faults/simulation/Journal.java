package org.dogwoodwood.faults.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

/** The events of a run, in order of time. */
public final class Journal {

    private final List<Event> events = new ArrayList<>();

    /** Adds an event, whose time must not precede that of the previous one. */
    public void add(Event event) {
        events.add(event);
    }

    /** Returns all events in order. */
    public List<Event> events() {
        return Collections.unmodifiableList(events);
    }

    /** Returns the events of one type in order. */
    public <T extends Event> Stream<T> of(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast);
    }
}
