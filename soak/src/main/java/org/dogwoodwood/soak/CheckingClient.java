package org.dogwoodwood.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ProtocolException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.dogwoodwood.node.settings.Endpoint;

/** A client beside a node: sends requests on raw connections and records each answer. */
final class CheckingClient {

    private static final int CONNECT_MILLIS = 1_000;
    private static final int READ_MILLIS = 4_000;
    private static final int RECONNECT_MILLIS = 100;
    private static final int MAX_PAUSE_MILLIS = 30;
    private static final int MAX_PIPELINED = 5;
    private static final int MIN_DEADLINE_MILLIS = 700;
    private static final int MAX_DEADLINE_MILLIS = 1_500;

    private static final int PERCENT = 100;
    private static final int UNSAFE_PERCENT = 25;
    private static final int PIPELINE_PERCENT = 35;
    private static final int LEAVE_PERCENT = 2;
    private static final int RENEW_PERCENT = 3;
    private static final int REPEAT_PERCENT = 50;

    private final String name;
    private final String node;
    private final Endpoint address;
    private final List<String> services;
    private final Evidence evidence;
    private final SplittableRandom random;
    private final List<ClientRequest> unread = new ArrayList<>();
    private int requests;

    CheckingClient(
            String name,
            String node,
            Endpoint address,
            List<String> services,
            Evidence evidence,
            SplittableRandom random) {
        this.name = name;
        this.node = node;
        this.address = address;
        this.services = services;
        this.evidence = evidence;
        this.random = random;
    }

    /** Sends requests until a point in time of {@link System#nanoTime()}. */
    void run(long endNanos) {
        while (System.nanoTime() < endNanos) {
            try (Socket socket = new Socket()) {
                socket.connect(
                        new InetSocketAddress(address.host(), address.port()), CONNECT_MILLIS);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(READ_MILLIS);
                useConnection(socket, endNanos);
            } catch (ProtocolException e) {
                evidence.add(new Violation(Rule.OWN_ID, node + ": " + e.getMessage()));
            } catch (SocketTimeoutException e) {
                evidence.counts().add("client: no answer in time");
            } catch (IOException e) {
                evidence.counts().add("client: connection refused or broken");
                pause(RECONNECT_MILLIS);
            }
        }
    }

    private void useConnection(Socket socket, long endNanos) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean open = true;
        while (open && System.nanoTime() < endNanos && !draw(RENEW_PERCENT)) {
            List<ClientRequest> batch = nextBatch();
            for (ClientRequest request : batch) {
                socket.getOutputStream().write(request.toBytes());
            }
            if (draw(LEAVE_PERCENT)) {
                evidence.counts().add("client: left early");
                return;
            }
            open = readAnswers(in, batch);
            if (open && !draw(REPEAT_PERCENT)) {
                pause(random.nextInt(MAX_PAUSE_MILLIS + 1));
            }
            if (open && in.available() > 0) {
                evidence.add(new Violation(Rule.NO_STRAY_BYTES, node + ", after " + batch));
                return;
            }
        }
    }

    // Requests behind an answer that closed the connection were not read, and keep their ids.
    private List<ClientRequest> nextBatch() {
        if (!unread.isEmpty()) {
            List<ClientRequest> batch = List.copyOf(unread);
            unread.clear();
            evidence.addSentAgain(batch);
            return batch;
        }
        if (draw(UNSAFE_PERCENT)) {
            return List.of(nextRequest(true));
        }
        int size = draw(PIPELINE_PERCENT) ? random.nextInt(2, MAX_PIPELINED + 1) : 1;
        List<ClientRequest> batch = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            batch.add(nextRequest(false));
        }
        return batch;
    }

    private ClientRequest nextRequest(boolean unsafe) {
        requests++;
        return ClientRequest.create(
                name + "-" + requests,
                services.get(random.nextInt(services.size())),
                unsafe,
                random.nextInt(MIN_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS));
    }

    /** Reads the answers to a batch; returns whether the connection stays open. */
    private boolean readAnswers(InputStream in, List<ClientRequest> batch) throws IOException {
        for (int i = 0; i < batch.size(); i++) {
            HttpMessage answer = HttpMessage.read(in).orElse(null);
            if (answer == null) {
                evidence.counts().add("client: connection closed without an answer");
                return false;
            }
            if (!answer.complete()) {
                evidence.counts().add("client: cut answer");
                return false;
            }
            evidence.add(ReceivedAnswer.of(batch.get(i), node, answer));
            if (answer.closesConnection()) {
                unread.addAll(batch.subList(i + 1, batch.size()));
                return false;
            }
        }
        return true;
    }

    private boolean draw(int percent) {
        return random.nextInt(PERCENT) < percent;
    }

    private static void pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
