package org.dogwoodwood.node.memory;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stops a port from accepting while it has more connections than it may have.
 *
 * <p>Connections are accepted on another thread than the one that closes others to make room. That
 * thread would use up the descriptors of the process first, and then not accept for a second. New
 * connections wait in the queue of the operating system meanwhile. One read of the port may exceed
 * the limit by the number of connections that it accepts at a time, 16.
 */
@ChannelHandler.Sharable
public final class AcceptLimit extends ChannelInboundHandlerAdapter {

    private static final AttributeKey<Boolean> COUNTED =
            AttributeKey.valueOf(AcceptLimit.class, "counted");

    // The descriptor of a closed connection is released when its event loop selects again, which it
    // does before it runs a task that is scheduled.
    private static final int RELEASE_MILLIS = 1;

    private final int maxConnections;
    private final AtomicInteger connections = new AtomicInteger();

    private AcceptLimit(int maxConnections) {
        checkArgument(maxConnections >= 1, "maxConnections must be positive.");
        this.maxConnections = maxConnections;
    }

    /** Returns a limit for one port, which takes effect with its first connection. */
    public static AcceptLimit of(int maxConnections) {
        return new AcceptLimit(maxConnections);
    }

    /** Records a connection of the port; must be called for each one when it has been opened. */
    public void onOpened(Channel connection) {
        Channel port = connection.parent();
        if (port.pipeline().get(AcceptLimit.class) == null) {
            port.pipeline().addFirst(this);
        }
        count(connection);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof Channel connection) {
            count(connection);
        }
        context.fireChannelRead(message);
    }

    private void count(Channel connection) {
        if (connection.attr(COUNTED).getAndSet(true) != null) {
            return;
        }
        connections.incrementAndGet();
        update(connection.parent());
        connection.closeFuture().addListener(ignored -> onClosed(connection));
    }

    private void onClosed(Channel connection) {
        EventLoop loop = connection.eventLoop();
        if (!loop.isShuttingDown()) {
            ScheduledFuture<?> delay =
                    loop.schedule(() -> {}, RELEASE_MILLIS, TimeUnit.MILLISECONDS);
            delay.addListener(ignored -> release(connection));
        }
    }

    private void release(Channel connection) {
        connections.decrementAndGet();
        update(connection.parent());
    }

    private void update(Channel port) {
        EventLoop loop = port.eventLoop();
        if (loop.inEventLoop()) {
            port.config().setAutoRead(connections.get() <= maxConnections);
        } else if (!loop.isShuttingDown()) {
            loop.execute(() -> update(port));
        }
    }
}
