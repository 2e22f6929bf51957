import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's call to an entry over a connection of its own. */
final class Client {
    private final Recorder recorder;
    private final String name;
    private final Socket socket = new Socket();

    Client(Recorder recorder, String name) {
        this.recorder = recorder;
        this.name = name;
    }

    /** A job of one step with tasks that run for the given time. */
    static String job(int count, int cpu, int estimateMs, int runMs) {
        return "{\"spec\":\"" + runMs + " ms\",\"bestEffort\":true,\"steps\":[{\"count\":" + count + ",\"cpu\":" + cpu + ",\"memMb\":64,\"estimateMs\":"
            + estimateMs + "}]}";
    }

    void connect(InetSocketAddress address) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(address, 1000);
    }

    void send(String method, String path, String body, long deadlineMs) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Cluster.HOST + "\r\nDeadline-Ms: " + deadlineMs
            + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        byte[] message = (head + body).getBytes(StandardCharsets.UTF_8);
        recorder.line("%s sends %s %s to %s", name, method, path, socket.getRemoteSocketAddress());
        socket.getOutputStream().write(message);
        socket.getOutputStream().flush();
        socket.setSoTimeout((int) deadlineMs);
    }

    /** Waits for the response. Returns the status, or 0 if there was none. */
    int status() {
        int status = 0;
        String text = "";
        try {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) throw new IOException("connection closed");
                head.append((char) next);
            }
            status = Integer.parseInt(head.substring(9, 12));
            int length = 0;
            for (String line : head.toString().split("\r\n")) {
                if (line.toLowerCase().startsWith("content-length:")) length = Integer.parseInt(line.substring(15).trim());
            }
            text = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        } catch (IOException e) {
            text = e.toString();
        }
        recorder.line("%s gets %s %s", name, status == 0 ? "no response" : String.valueOf(status), text);
        return status;
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            recorder.line("%s: %s", name, e);
        }
    }

    /** One whole call on a new connection. Returns the status, or 0 if there was no response. */
    static int call(Recorder recorder, String name, InetSocketAddress address, String method, String path, String body, long deadlineMs) {
        Client client = new Client(recorder, name);
        try {
            client.connect(address);
            client.send(method, path, body, deadlineMs);
            return client.status();
        } catch (IOException e) {
            recorder.line("%s: %s", name, e);
            return 0;
        } finally {
            client.close();
        }
    }
}
