import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A plain HTTP/1.1 client with one connection per call. */
final class Http implements AutoCloseable {
    /** A complete response. */
    record Response(int status, String location, String body) {}

    private final Socket socket = new Socket();

    Http(String host, int port, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(host, port), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
    }

    void send(String method, String path, String hostName, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nContent-Type: application/json\r\nContent-Length: "
            + bytes.length + "\r\n" + headers + "\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.UTF_8));
        all.write(bytes);
        socket.getOutputStream().write(all.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Reads one response. Throws an IOException if none arrives in time or the connection breaks. */
    Response receive() throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String statusLine = line(in);
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        int length = 0;
        String location = "";
        for (String next = line(in); !next.isEmpty(); next = line(in)) {
            String lower = next.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) length = Integer.parseInt(next.substring(15).trim());
            if (lower.startsWith("location:")) location = next.substring(9).trim();
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new EOFException("the response is cut short");
        return new Response(status, location, new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) throw new EOFException("the connection was closed");
            if (next == '\n') return text.toString().trim();
            text.append((char) next);
        }
    }

    /** Closes the connection with a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Makes one call and follows two redirects. */
    static Response call(String host, int port, String method, String path, String hostName, String headers, String body, int timeoutMillis)
        throws IOException {
        String toHost = host;
        int toPort = port;
        for (int redirects = 0; ; redirects++) {
            try (Http http = new Http(toHost, toPort, timeoutMillis)) {
                http.send(method, path, hostName, headers, body);
                Response response = http.receive();
                if (response.status() != 307 || redirects == 2) return response;
                String address = response.location().substring("http://".length()).split("/")[0];
                toHost = address.split(":")[0];
                toPort = Integer.parseInt(address.split(":")[1]);
            }
        }
    }
}
