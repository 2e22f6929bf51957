import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** A plain HTTP/1.1 server and client on loopback, one thread for each connection. */
final class Http {
    record Request(String method, String path, Map<String, String> headers, String body) {}

    /** A response; status 0 stands for none. */
    record Response(int status, String body) {
        static final Response NONE = new Response(0, "");
    }

    interface Handler {
        /** Returns the response, or null to leave the request unanswered. */
        Response handle(Request request) throws Exception;
    }

    private Http() {}

    static ServerSocket serve(String host, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
        daemon(() -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                daemon(() -> serveConnection(socket, handler));
            }
        });
        return server;
    }

    private static void serveConnection(Socket socket, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String first = readLine(in);
                if (first == null) return;
                String[] parts = first.split(" ");
                Map<String, String> headers = readHeaders(in);
                Response response = handler.handle(new Request(parts[0], parts[1], headers, readBody(in, headers)));
                if (response == null) continue;
                byte[] body = response.body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + response.status + " X\r\ncontent-type: application/json\r\ncontent-length: " + body.length + "\r\n\r\n";
                socket.getOutputStream().write(join(head.getBytes(StandardCharsets.UTF_8), body));
            }
        }
    }

    /** Sends a request on a new connection and completes with the response, or with [Response.NONE] after [waitMs] or a broken connection. */
    static CompletableFuture<Response> send(String address, String method, String path, String host, String body, int waitMs) {
        CompletableFuture<Response> result = new CompletableFuture<>();
        daemon(() -> {
            try {
                result.complete(call(address, method, path, host, body, waitMs));
            } catch (IOException e) {
                result.complete(Response.NONE);
            }
        });
        return result;
    }

    private static Response call(String address, String method, String path, String host, String body, int waitMs) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), waitMs);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(waitMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nDeadline-Ms: " + waitMs
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            socket.getOutputStream().write(join(head.getBytes(StandardCharsets.UTF_8), bytes));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = readLine(in);
            if (first == null) return Response.NONE;
            return new Response(Integer.parseInt(first.split(" ")[1]), readBody(in, readHeaders(in)));
        }
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static String readBody(InputStream in, Map<String, String> headers) throws IOException {
        return new String(in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0"))), StandardCharsets.UTF_8);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) return null;
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] all = new byte[first.length + second.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    interface Action {
        void run() throws Exception;
    }

    /** Runs [action] on a daemon thread. A connection that breaks ends it. */
    static void daemon(Action action) {
        Thread thread =
            new Thread(() -> {
                try {
                    action.run();
                } catch (IOException | InterruptedException e) {
                    // The connection or the process that it belonged to is gone.
                } catch (Exception e) {
                    e.printStackTrace();
                }
            });
        thread.setDaemon(true);
        thread.start();
    }
}
