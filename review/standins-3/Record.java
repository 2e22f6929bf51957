import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, in milliseconds since the start of the script. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized long add(String line) {
        long now = now();
        lines.add(now + " " + line);
        return now;
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
