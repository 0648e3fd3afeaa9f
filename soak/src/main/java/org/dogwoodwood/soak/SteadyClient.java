package org.dogwoodwood.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends one kind of request to one node at a steady rate, each on a new connection. */
final class SteadyClient {

    static final int DEADLINE_MILLIS = 1_000;

    private static final int CONNECT_MILLIS = 1_000;
    private static final int READ_MILLIS = DEADLINE_MILLIS + 500;
    private static final int FIRST_INTERVAL_MILLIS = 500;
    private static final int OK = 200;
    private static final int NO_ANSWER = 0;
    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private final SoakVm vm;
    private final String service;
    private final SteadyRequest kind;
    private final Map<Integer, Integer> statuses = new TreeMap<>();
    private volatile int intervalMillis = FIRST_INTERVAL_MILLIS;
    private int period;

    SteadyClient(SoakVm vm, String service, SteadyRequest kind) {
        this.vm = vm;
        this.service = service;
        this.kind = kind;
    }

    /** Sends a request in each interval until the thread is interrupted. */
    Thread start() {
        return Daemons.start("client", this::sendAll);
    }

    void setIntervalMillis(int millis) {
        intervalMillis = millis;
    }

    String service() {
        return service;
    }

    /** Forgets all answers, also those to the requests that have been sent. */
    synchronized void clear() {
        period++;
        statuses.clear();
    }

    /** Returns the statuses of the answers to requests since the last clear, 0 for none. */
    synchronized Map<Integer, Integer> statuses() {
        return new TreeMap<>(statuses);
    }

    /** Returns how many of 100 requests since the last clear were served. */
    synchronized int servedPercent() {
        int all = statuses.values().stream().mapToInt(Integer::intValue).sum();
        return all == 0 ? 0 : 100 * statuses.getOrDefault(OK, 0) / all;
    }

    @Override
    public String toString() {
        return kind + " of " + service + " at " + vm.name();
    }

    private void sendAll() {
        try {
            while (true) {
                Daemons.start("request", this::sendOne);
                Thread.sleep(intervalMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized int currentPeriod() {
        return period;
    }

    /** Sends one request and waits for its answer. */
    void sendOne() {
        int sentIn = currentPeriod();
        int status = request();
        synchronized (this) {
            if (sentIn == period) {
                statuses.merge(status, 1, Integer::sum);
            }
        }
    }

    private int request() {
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(vm.callers().host(), vm.callers().port()),
                    CONNECT_MILLIS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_MILLIS);
            String id = "steady-" + NUMBERS.incrementAndGet();
            socket.getOutputStream().write(text(id).getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            HttpMessage answer = HttpMessage.read(in).orElse(null);
            return answer == null ? NO_ANSWER : answer.status();
        } catch (IOException e) {
            return NO_ANSWER;
        }
    }

    private String text(String id) {
        return kind.method()
                + " "
                + kind.path(id)
                + " HTTP/1.1\r\nHost: "
                + kind.host(service)
                + "\r\n"
                + PlatformNames.REQUEST_ID
                + ": "
                + id
                + "\r\n"
                + PlatformNames.DEADLINE_MILLIS
                + ": "
                + DEADLINE_MILLIS
                + "\r\nContent-Length: 0\r\n\r\n";
    }
}
