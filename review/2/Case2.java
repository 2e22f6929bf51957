import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An executor crashes and starts again under the id that it had, while jobs come steadily. Checks TWICE. */
final class Case2 extends Case {
    private static final int CRASHES = 8;
    private static final long DOWN_MS = 1500;
    private static final long FIRST_HEARTBEAT_MS = Long.parseLong(System.getenv().getOrDefault("FIRST_HEARTBEAT_MS", "200"));

    public static void main(String[] args) {
        new Case2().main(args[0]);
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
            executor.stopMs = 40;
            executor.firstHeartbeatMs = FIRST_HEARTBEAT_MS;
        }
    }

    @Override
    boolean play() throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        AtomicInteger number = new AtomicInteger();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2000 + CRASHES * (DOWN_MS + 2500));
        // 70 jobs a second, each of 2 tasks of 286 ms on 3.1 cores, like permit-renew: about 124 of the 256 cores are busy.
        Thread traffic = new Thread(() -> {
            while (System.nanoTime() < end) {
                int job = number.incrementAndGet();
                callers.execute(() -> Client.call(recorder, "client " + job, cluster.callers(job % 3), "POST", path(id(job)),
                    Client.job(2, 3100, 200, 286), 1500));
                try {
                    Thread.sleep(14);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        traffic.start();
        Thread.sleep(2000);
        for (int crash = 0; crash < CRASHES; crash++) {
            Executor executor = cluster.executors.get(crash % 8);
            if (trouble) executor.crash();
            Thread.sleep(DOWN_MS);
            if (trouble) executor.start();
            Thread.sleep(2500);
        }
        traffic.join();
        Thread.sleep(1500);
        callers.shutdownNow();
        for (int side = 0; side < 8; side++) cluster.recordLog("agent", side, "target_seen", "target_reached", "target_silent", "target_gone");
        List<String> found = overlaps();
        found.forEach(each -> recorder.say("TWICE: %s", each));
        recorder.say("%d jobs, %d runs, %d pairs of runs at the same time", number.get(), cluster.runs().size(), found.size());
        return !found.isEmpty();
    }
}
