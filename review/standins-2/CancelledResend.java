import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;

/**
 * An executor is down for some seconds with a task at work. The client gets 504, sends the job again to the same node and then cancels it; the
 * cancelling is acknowledged. Does the job start after all?
 */
final class CancelledResend extends ReviewCase {
    private static final int CANCEL_MILLIS = 3000;
    private static final int DEADLINE_MILLIS = 6000;
    private static final int RESEND_MILLIS = 1300;
    private static final int DOWN_MILLIS = 4500;
    private static final int ROUNDS = 3;

    public static void main(String[] args) {
        new CancelledResend().run(args[0]);
    }

    private final AtomicReference<Executor> user = new AtomicReference<>();

    @Override
    protected boolean isBroken() throws Exception {
        Executor.Trouble trouble = new Executor.Trouble() {
            @Override
            public boolean onStart(Executor executor, Executor.Run run) {
                user.compareAndSet(null, executor);
                return false;
            }
        };
        try (Deployment deployment = new Deployment(record, 8, 32_000, trouble)) {
            deployment.start(CONFIG);
            boolean isBroken = false;
            for (int round = 0; round < ROUNDS; round++) {
                isBroken |= startsAfterCancel(deployment, deployment.fronts.get(round), String.format("%016x", 0x5c0e7a21d94b7000L + round));
            }
            return isBroken;
        }
    }

    private boolean startsAfterCancel(Deployment deployment, String node, String job) throws Exception {
        user.set(null);
        try (Http connection = new Http(node, Deployment.CALLER_PORT, 20_000)) {
            long sent = System.nanoTime();
            send(connection, job);
            Thread crash = new Thread(() -> crashExecutor(sent));
            if (hasTrouble) crash.start();
            Http.Response first = connection.receive();
            record.add("ANSWER " + job + ": " + first.status() + " " + first.body());
            // The job is over at its deadline in any case, since its task takes longer than the caller said; so the client sends it again.
            if (first.status() != 504) throw new IOException("the first answer is not 504");
            Thread.sleep(RESEND_MILLIS);
            send(connection, job);
            Thread.sleep(20);
            Http.Response cancel =
                Http.call(node, Deployment.CALLER_PORT, "DELETE", "/spot/" + job, "desk.example", "Deadline-Ms: 1500\r\n", "", 1500);
            long acknowledged = System.nanoTime();
            record.add("DELETE " + job + ": " + cancel.status() + " " + cancel.body());
            if (cancel.status() / 100 != 2 && cancel.status() != 410) throw new IOException("the cancelling was not acknowledged");
            crash.join();
            Thread.sleep(1500);
            int late = 0;
            for (Executor executor : deployment.executors) {
                for (Executor.Run run : executor.allRuns()) {
                    long after = (run.startNanos - acknowledged) / 1_000_000;
                    if (!run.task.startsWith(job) || after <= CANCEL_MILLIS) continue;
                    late++;
                    record.add("CHECK  " + run.task + " run " + run.number + " started on " + run.executor + " " + after
                        + " ms after the cancelling was acknowledged");
                }
            }
            record.add("CHECK  " + job + ": " + late + " start(s) more than " + CANCEL_MILLIS + " ms after the cancelling");
            return late > 0;
        }
    }

    private void send(Http connection, String job) throws IOException {
        String body = "{\"spec\":\"7000\",\"bestEffort\":true,\"steps\":[{\"count\":1,\"cpu\":3100,\"memMb\":64,\"estimateMs\":5000}]}";
        connection.send("POST", "/spot/" + job, "desk.example", "Deadline-Ms: " + DEADLINE_MILLIS + "\r\n", body);
        record.add("POST   " + job);
    }

    /** The executor of the job is down from shortly before the deadline on. */
    private void crashExecutor(long sent) {
        try {
            Thread.sleep(DEADLINE_MILLIS - 50 - (System.nanoTime() - sent) / 1_000_000);
            user.get().crash();
            record.add("CRASH  " + user.get().id);
            Thread.sleep(DOWN_MILLIS);
            user.get().start();
            record.add("BACK   " + user.get().id);
        } catch (InterruptedException | IOException e) {
            record.add("the executor could not start again: " + e);
        }
    }
}
