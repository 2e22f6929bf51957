import java.io.IOException;
import java.util.List;

/** A client cancels its job; the connection of its first try is reset, and the second try reaches another node. Does the job stop? */
final class CancelElsewhere extends ReviewCase {
    private static final int CANCEL_MILLIS = 3000;
    private static final int STEPS = 8;
    private static final int STEP_MILLIS = 1200;

    public static void main(String[] args) {
        new CancelElsewhere().run(args[0]);
    }

    @Override
    protected boolean isBroken() throws Exception {
        try (Deployment deployment = new Deployment(record, 8, 32_000, new Executor.Trouble() {})) {
            deployment.start(CONFIG);
            boolean isBroken = false;
            for (int i = 0; i < 2; i++) {
                String job = String.format("%016x", 0x5c0e7a21d94b4000L + i);
                isBroken |= startsAfterCancel(deployment, job, deployment.fronts.get(i), deployment.fronts.get(i + 1));
            }
            return isBroken;
        }
    }

    private boolean startsAfterCancel(Deployment deployment, String job, String owner, String other) throws Exception {
        StringBuilder steps = new StringBuilder();
        for (int step = 0; step < STEPS; step++) {
            steps.append(step == 0 ? "" : ",").append("{\"count\":1,\"cpu\":3100,\"memMb\":64,\"estimateMs\":").append(STEP_MILLIS)
                .append(step == 0 ? "}" : ",\"dependsOn\":[" + (step - 1) + "]}");
        }
        String body = "{\"spec\":\"" + STEP_MILLIS + "\",\"bestEffort\":true,\"steps\":[" + steps + "]}";
        try (Http post = new Http(owner, Deployment.CALLER_PORT, 30_000)) {
            post.send("POST", "/spot/" + job, "desk.example", "Deadline-Ms: 30000\r\n", body);
            record.add("POST   " + job + " to " + owner);
            Thread waiting = new Thread(() -> {
                try {
                    Http.Response response = post.receive();
                    record.add("ANSWER " + job + " POST: " + response.status() + " " + response.body());
                } catch (IOException e) {
                    record.add("ANSWER " + job + " POST: " + e);
                }
            });
            waiting.start();
            Thread.sleep(1800);
            long acknowledged = cancel(job, owner, other);
            waiting.join(12_000);
            return check(deployment, job, acknowledged);
        }
    }

    /** Cancels the job. Returns when the cancelling was acknowledged (System.nanoTime). */
    private long cancel(String job, String owner, String other) throws Exception {
        String node = owner;
        if (hasTrouble) {
            try (Http first = new Http(owner, Deployment.CALLER_PORT, 1500)) {
                first.reset();
                record.add("DELETE " + job + " to " + owner + ": the connection was reset");
            }
            node = other;
        }
        Http.Response response = Http.call(node, Deployment.CALLER_PORT, "DELETE", "/spot/" + job, "desk.example", "Deadline-Ms: 1500\r\n", "", 1500);
        long now = System.nanoTime();
        record.add("DELETE " + job + " to " + node + ": " + response.status() + " " + response.body());
        if (response.status() / 100 != 2 && response.status() != 410) throw new IOException("the cancelling was not acknowledged");
        return now;
    }

    private boolean check(Deployment deployment, String job, long acknowledged) {
        List<Executor.Run> late = deployment.executors.stream()
            .flatMap(it -> it.allRuns().stream())
            .filter(it -> it.task.startsWith(job) && it.startNanos - acknowledged > CANCEL_MILLIS * 1_000_000L)
            .toList();
        for (Executor.Run run : late) {
            record.add("CHECK  " + run.task + " run " + run.number + " started on " + run.executor + " "
                + (run.startNanos - acknowledged) / 1_000_000 + " ms after the cancelling was acknowledged");
        }
        record.add("CHECK  " + job + ": " + late.size() + " start(s) more than " + CANCEL_MILLIS + " ms after the cancelling");
        return !late.isEmpty();
    }
}
