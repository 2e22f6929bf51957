import java.util.concurrent.atomic.AtomicInteger;

/**
 * An executor starts, the time of day of its machine steps back by 2 s for some seconds, and the executor crashes and starts again under the
 * id that it had, so that its new life was "born" before the former one. When all this is over for seconds it drains. Checks DRAIN.
 */
final class Case5 extends Case {
    private static final long STEP_MS = 2000;
    private static final long DRAIN_MS = 2000;
    private static final int CRASHED = 1;

    public static void main(String[] args) {
        new Case5().main(args[0]);
    }

    @Override
    int sides() {
        return 8;
    }

    @Override
    boolean play() throws Exception {
        Executor executor = cluster.executors.get(CRASHED);
        AtomicInteger number = new AtomicInteger();
        long end = System.nanoTime() + 22_000_000_000L;
        Thread traffic = new Thread(() -> {
            while (System.nanoTime() < end) {
                int job = number.incrementAndGet();
                new Thread(() -> Client.call(recorder, "client " + job, cluster.callers(job % 3), "POST", path(id(job)),
                    Client.job(2, 1000, 200, 286), 1500)).start();
                try {
                    Thread.sleep(40);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        traffic.start();
        Thread.sleep(1000);
        // A new executor joins.
        executor.crash();
        Thread.sleep(500);
        executor.start();
        Thread.sleep(300);
        if (trouble) executor.wallOffsetMs = -STEP_MS;
        recorder.line("time of day of the machine of %s: offset %d ms", executor.id, executor.wallOffsetMs);
        Thread.sleep(200);
        executor.crash();
        Thread.sleep(500);
        executor.start();
        Thread.sleep(2000);
        executor.wallOffsetMs = 0;
        recorder.line("time of day of the machine of %s: offset %d ms", executor.id, executor.wallOffsetMs);
        // The step and the crash are over for more than contactMs (3 s).
        Thread.sleep(5000);
        executor.state = "draining";
        int status = executor.sendHeartbeat();
        long acknowledged = System.nanoTime();
        recorder.say("the executor says that it drains: %d", status);
        if (status < 200 || status > 299) throw new IllegalStateException("the drain was not acknowledged");
        // It goes on serving for longer than drainMs, as the page allows.
        traffic.join();
        Thread.sleep(1500);
        cluster.recordLog("agent", CRASHED, "target_");
        long bound = acknowledged + DRAIN_MS * 1_000_000;
        int late = 0;
        for (Executor.Run run : cluster.runs()) {
            if (run.executor != executor || run.startNanos <= bound) continue;
            late++;
            if (late <= 5) recorder.say("DRAIN: %s started at %.1f ms, drain acknowledged at %.1f ms", run, recorder.at(run.startNanos), recorder.at(acknowledged));
        }
        recorder.say("%d jobs, %d starts later than drainMs after the drain was acknowledged", number.get(), late);
        return late > 0;
    }
}
