import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

/**
 * Forwards the frames of links between two machines, and can cut the two off from each other.
 *
 * During a cut nothing passes: frames that arrive are kept until it ends, and a connection that is opened meanwhile is lost.
 */
final class Relay {
    private final String targetHost;
    private final int port;
    private final UnaryOperator<String> toTarget;
    private final UnaryOperator<String> fromTarget;
    private final Set<Socket> openedDuringCut = ConcurrentHashMap.newKeySet();
    private boolean isCut;

    Relay(String host, int port, String targetHost, UnaryOperator<String> toTarget, UnaryOperator<String> fromTarget) throws IOException {
        this.targetHost = targetHost;
        this.port = port;
        this.toTarget = toTarget;
        this.fromTarget = fromTarget;
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
        Http.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                Http.daemon(() -> connect(socket));
            }
        });
    }

    synchronized void cut() {
        isCut = true;
    }

    synchronized void heal() throws IOException {
        isCut = false;
        for (Socket socket : openedDuringCut) socket.close();
        openedDuringCut.clear();
        notifyAll();
    }

    private synchronized void awaitPath() throws InterruptedException {
        while (isCut) wait();
    }

    private void connect(Socket socket) throws Exception {
        synchronized (this) {
            if (isCut) {
                openedDuringCut.add(socket);
                return;
            }
        }
        Socket target = new Socket();
        try {
            target.connect(new InetSocketAddress(targetHost, port), 500);
        } catch (IOException e) {
            socket.close();
            return;
        }
        Http.daemon(() -> forward(socket, target, toTarget));
        forward(target, socket, fromTarget);
    }

    /** Forwards until either side closes, and then closes the other. */
    private void forward(Socket from, Socket to, UnaryOperator<String> change) throws Exception {
        try {
            from.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(from.getInputStream());
            DataOutputStream out = new DataOutputStream(to.getOutputStream());
            while (true) {
                byte[] body = new byte[in.readInt()];
                in.readFully(body);
                awaitPath();
                byte[] changed = change.apply(new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
                byte[] frame = new byte[4 + changed.length];
                java.nio.ByteBuffer.wrap(frame).putInt(changed.length).put(changed);
                out.write(frame);
            }
        } finally {
            awaitPath();
            from.close();
            to.close();
        }
    }
}
