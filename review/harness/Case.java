import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the scripts of all cases share: the folder of the case, the switch for the disruption, the exit code, and common checks. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Recorder recorder;
    Cluster cluster;

    abstract int sides();

    void prepare() {}

    /** Starts what the case needs before it is played. */
    void start() throws Exception {
        cluster.start();
    }

    /** Plays the case and returns true if the rule was broken. */
    abstract boolean play() throws Exception;

    void main(String folder) {
        int code;
        try {
            recorder = new Recorder(Path.of(folder, "record.txt"));
            cluster = new Cluster(recorder, sides());
            prepare();
            start();
            boolean isBroken = play();
            recorder.say("%s, disruption %s", isBroken ? "the rule was BROKEN" : "the rule held", trouble ? "on" : "off");
            code = isBroken ? BROKEN : HELD;
        } catch (Throwable e) {
            e.printStackTrace();
            if (recorder != null) recorder.say("the case could not run: %s", e);
            code = NOT_RUN;
        }
        if (cluster != null) cluster.close();
        System.exit(code);
    }

    String path(String id) {
        return Cluster.PREFIX + id;
    }

    static String id(int number) {
        return String.format("%016x", 0x5c0e7a2100000000L + number);
    }

    /** Runs of one task that overlapped in time on executors that were up: the pairs, each as one line. */
    List<String> overlaps() {
        Map<String, List<Executor.Run>> byTask = new HashMap<>();
        for (Executor.Run run : cluster.runs()) byTask.computeIfAbsent(run.task, task -> new ArrayList<>()).add(run);
        List<String> found = new ArrayList<>();
        for (List<Executor.Run> runs : byTask.values()) {
            for (int i = 0; i < runs.size(); i++) {
                for (int j = i + 1; j < runs.size(); j++) {
                    Executor.Run first = runs.get(i);
                    Executor.Run second = runs.get(j);
                    long firstEnd = first.endNanos == 0 ? System.nanoTime() : first.endNanos;
                    long secondEnd = second.endNanos == 0 ? System.nanoTime() : second.endNanos;
                    long overlap = Math.min(firstEnd, secondEnd) - Math.max(first.startNanos, second.startNanos);
                    if (overlap > 0) {
                        found.add(String.format("%s (%.1f to %.1f ms, %s) and %s (%.1f to %.1f ms, %s) ran at the same time for %.1f ms",
                            first, recorder.at(first.startNanos), recorder.at(firstEnd), first.how,
                            second, recorder.at(second.startNanos), recorder.at(secondEnd), second.how, overlap / 1e6));
                    }
                }
            }
        }
        return found;
    }
}
