package org.cuminspur.http.internal.client;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Stands for an I/O thread while one connection is opened, and guards that connection before the client library has it.
 *
 * <p>Not thread-safe; serves one attempt to connect. It is never started: all work is done by the thread that it stands for.
 */
public final class GuardingIoThread extends XnioIoThread {
    private final XnioIoThread thread;
    private volatile FramingGuard guard;
    private volatile ResponseConduit responses;

    public GuardingIoThread(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    /** Returns the guard of the connection, null before it is open. */
    public FramingGuard guard() {
        return guard;
    }

    /** Returns what checks the connection's responses, null before it is open. */
    public ResponseConduit responses() {
        return responses;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
        return thread.openStreamConnection(
                destination,
                connection -> {
                    guard = new FramingGuard(connection.getSourceChannel().getConduit());
                    responses = new ResponseConduit(guard);
                    connection.getSourceChannel().setConduit(responses);
                    openListener.handleEvent(connection);
                },
                options);
    }

    @Override
    public void execute(Runnable command) {
        thread.execute(command);
    }

    @Override
    public XnioExecutor.Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return thread.executeAfter(command, time, unit);
    }

    @Override
    public XnioExecutor.Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return thread.executeAtInterval(command, time, unit);
    }
}
