import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the file record.txt, each line with the milliseconds since the start of the test. */
final class Recorder {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Milliseconds since the start of the test. */
    double now() {
        return at(System.nanoTime());
    }

    /** Converts a value of System.nanoTime to milliseconds since the start of the test. */
    double at(long nanos) {
        return (nanos - startNanos) / 1e6;
    }

    synchronized void line(String format, Object... args) {
        out.printf("%10.1f ms  %s%n", now(), String.format(format, args));
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String format, Object... args) {
        line(format, args);
        System.out.println(String.format(format, args));
    }
}
