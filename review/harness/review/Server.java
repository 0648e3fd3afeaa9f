package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server with one thread for each connection; one request at a time on each. */
abstract class Server implements AutoCloseable {

    /** A connection of a client. */
    final class Connection {

        private final Socket socket;
        private final InputStream in;
        private final OutputStream out;
        private volatile boolean silent;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        synchronized void send(Message message) throws IOException {
            if (!silent) {
                message.write(out);
            }
        }

        boolean isSilent() {
            return silent;
        }

        /** Returns whether the client has closed the connection. */
        boolean isClosedByPeer() {
            return socket.isClosed();
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // The connection is gone in any case.
            }
        }

        private void run() {
            try {
                Message request = Message.read(in);
                while (request != null && !silent) {
                    onRequest(request, this);
                    request = Message.read(in);
                }
                if (silent) {
                    // Keeps the connection open without reading or writing.
                    Thread.sleep(Long.MAX_VALUE);
                }
            } catch (IOException | InterruptedException e) {
                // The connection has ended.
            } finally {
                close();
                connections.remove(this);
            }
        }
    }

    private final ServerSocket listener = new ServerSocket();
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    Server(String host, int port) throws IOException {
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 256);
        Thread acceptor = new Thread(this::accept, "accept-" + port);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    int connectionCount() {
        return connections.size();
    }

    /** Answers a request; the next one of the connection is read afterwards. */
    abstract void onRequest(Message request, Connection connection)
            throws IOException, InterruptedException;

    /** Lets the open connections go silent without closing them; new ones work. */
    void silenceOpenConnections() {
        connections.forEach(connection -> connection.silent = true);
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // The port is free in any case.
        }
        connections.forEach(Connection::close);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Connection connection = new Connection(socket);
                connections.add(connection);
                Thread reader = new Thread(connection::run, "connection");
                reader.setDaemon(true);
                reader.start();
            }
        } catch (IOException e) {
            // The port was closed.
        }
    }
}
