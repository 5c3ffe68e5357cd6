package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A proxy in front of the store. Once armed, it resets all its connections, once, when it sees a request that begins in a
 * given way; connections that are opened later are served as before.
 */
final class CutProxy {
    private static final int BUFFER_BYTES = 1 << 16;

    private final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final int targetPort;
    private final String requestStart;
    private boolean armed;
    private long cutMillis;

    CutProxy(int targetPort, String requestStart) throws IOException {
        this.targetPort = targetPort;
        this.requestStart = requestStart;
        start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized void arm() {
        armed = true;
    }

    /** When the connections were reset; 0 before. */
    synchronized long cutMillis() {
        return cutMillis;
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket caller = listener.accept();
                caller.setTcpNoDelay(true);
                Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                target.setTcpNoDelay(true);
                connections.add(caller);
                start(() -> copy(caller, target, caller, true));
                start(() -> copy(target, caller, caller, false));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void copy(Socket from, Socket to, Socket caller, boolean requests) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                if (requests && beginsAsGiven(buffer, length) && disarm()) {
                    reset();
                    return;
                }
                out.write(buffer, 0, length);
            }
        } catch (IOException ended) {
            // One side closed the connection, or it was reset.
        } finally {
            connections.remove(caller);
        }
    }

    private boolean beginsAsGiven(byte[] buffer, int length) {
        return new String(buffer, 0, Math.min(length, requestStart.length()), StandardCharsets.ISO_8859_1)
                .equals(requestStart);
    }

    private synchronized boolean disarm() {
        boolean wasArmed = armed;
        armed = false;
        cutMillis = wasArmed ? System.currentTimeMillis() : cutMillis;
        return wasArmed;
    }

    private void reset() throws IOException {
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
    }
}
