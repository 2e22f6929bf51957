import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each event, with the time since the start of the record (ms). */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String text) {
        String line = String.format("%7d %s", millis(), text);
        out.println(line);
        out.flush();
        System.out.println(line);
    }

    @Override
    public void close() {
        out.close();
    }
}
