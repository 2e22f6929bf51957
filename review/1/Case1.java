import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The agent process of one side machine is killed while tasks of both steps of a job run there. Clients send a job that was answered 504 again
 * to another node. Checks TWICE.
 */
final class Case1 extends Case {
    private static final int JOBS = 6;

    public static void main(String[] args) {
        new Case1().main(args[0]);
    }

    @Override
    int sides() {
        return 8;
    }

    @Override
    void prepare() {
        for (Executor executor : cluster.executors) {
            executor.cpu = 32000;
            executor.memMb = 131072;
        }
    }

    @Override
    boolean play() throws Exception {
        for (int number = 1; number <= JOBS; number++) {
            String id = id(number);
            int owner = number % 3;
            Thread client = new Thread(() -> {
                for (int attempt = 0; attempt < 2; attempt++) {
                    int status = Client.call(recorder, "client of " + id + ", attempt " + (attempt + 1), cluster.callers((owner + attempt) % 3), "POST",
                        path(id), job(), 2500);
                    if (status != 0 && status != 502 && status != 504) return;
                    // resendMs
                    try {
                        Thread.sleep(1300);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            client.start();
            Thread.sleep(150);
            int side = sideWithBothSteps(id);
            if (side < 0) recorder.line("no side machine has tasks of both steps of %s", id);
            if (trouble && side >= 0) {
                cluster.signal("agent", side, "KILL");
                cluster.process("agent", side).waitFor();
                Thread.sleep(500);
                cluster.startProcess("agent", side, false);
            }
            client.join();
            Thread.sleep(2500);
        }
        List<String> found = overlaps();
        found.forEach(each -> recorder.say("TWICE: %s", each));
        recorder.say("%d jobs, %d runs, %d pairs of runs at the same time", JOBS, cluster.runs().size(), found.size());
        return !found.isEmpty();
    }

    /** Two steps that don't depend on each other. All tasks run for 1.5 s; the estimate of the first step is a third too low. */
    private static String job() {
        return "{\"spec\":\"1500 ms\",\"bestEffort\":true,\"steps\":[{\"count\":4,\"cpu\":3100,\"memMb\":64,\"estimateMs\":1000},"
            + "{\"count\":8,\"cpu\":3100,\"memMb\":64,\"estimateMs\":1500}]}";
    }

    /** Returns a side machine that runs tasks of both steps, or -1. */
    private int sideWithBothSteps(String id) {
        TreeSet<Integer> first = new TreeSet<>();
        TreeSet<Integer> second = new TreeSet<>();
        for (Executor.Run run : cluster.runs()) {
            if (!run.job().equals(id)) continue;
            int side = cluster.executors.indexOf(run.executor);
            (run.task.startsWith(id + ".0.0.") ? first : second).add(side);
        }
        first.retainAll(second);
        return first.isEmpty() ? -1 : first.first();
    }
}
