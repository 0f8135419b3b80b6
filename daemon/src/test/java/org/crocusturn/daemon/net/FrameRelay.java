package org.crocusturn.daemon.net;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/** Proxy between the ends of links that forwards, modifies or drops their frames. */
final class FrameRelay implements AutoCloseable {
    final AtomicInteger mConnections = new AtomicInteger();
    private final ExecutorService mExecutor = Executors.newCachedThreadPool();
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final ServerSocket mListener;
    private final InetSocketAddress mTarget;
    private volatile Tampering mClientTampering = (number, frame) -> List.of(frame);
    private volatile Tampering mServerTampering = (number, frame) -> List.of(frame);
    private volatile boolean mDropsFrames;
    private volatile CountDownLatch mReadBarrier = new CountDownLatch(0);

    FrameRelay(InetSocketAddress target) throws IOException {
        mTarget = target;
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mExecutor.execute(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mListener.getLocalSocketAddress();
    }

    void tamper(boolean framesOfServer, Tampering tampering) {
        if (framesOfServer) {
            mServerTampering = tampering;
        } else {
            mClientTampering = tampering;
        }
    }

    /** Drops all further frames while the connections stay open. */
    void dropFrames() {
        mDropsFrames = true;
    }

    /** Stops reading until the relay is closed. */
    void stopReading() {
        mReadBarrier = new CountDownLatch(1);
    }

    void closeConnections() {
        mSockets.forEach(FrameRelay::close);
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        closeConnections();
        mExecutor.shutdownNow();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = mListener.accept();
                Socket server = new Socket(mTarget.getAddress(), mTarget.getPort());
                mSockets.addAll(List.of(client, server));
                mConnections.incrementAndGet();
                mExecutor.execute(() -> relay(client, server, false));
                mExecutor.execute(() -> relay(server, client, true));
            }
        } catch (IOException | RejectedExecutionException e) {
            closeConnections();
        }
    }

    private void relay(Socket from, Socket to, boolean ofServer) {
        try {
            DataInputStream in = new DataInputStream(from.getInputStream());
            DataOutputStream out = new DataOutputStream(to.getOutputStream());
            for (int number = 0; true; number++) {
                byte[] frame = in.readNBytes(in.readInt());
                Tampering tampering = ofServer ? mServerTampering : mClientTampering;
                mReadBarrier.await();
                for (byte[] changed :
                        mDropsFrames ? List.<byte[]>of() : tampering.apply(number, frame)) {
                    out.writeInt(changed.length);
                    out.write(changed);
                }
            }
        } catch (IOException | InterruptedException e) {
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the frames that replace one frame of a connection. */
    interface Tampering {
        List<byte[]> apply(int number, byte[] frame);
    }
}
