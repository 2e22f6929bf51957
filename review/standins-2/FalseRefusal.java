import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An executor crashes when it has begun a task and before it has answered the order. What is the caller told? */
final class FalseRefusal extends ReviewCase {
    private static final int JOBS = 10;
    private static final int DOWN_MILLIS = 300;
    private final Set<String> crashingJobs = ConcurrentHashMap.newKeySet();

    public static void main(String[] args) {
        new FalseRefusal().run(args[0]);
    }

    @Override
    protected boolean isBroken() throws Exception {
        Executor.Trouble trouble = new Executor.Trouble() {
            @Override
            public boolean onStart(Executor executor, Executor.Run run) {
                if (!crashingJobs.remove(run.task.substring(0, 16))) return false;
                record.add("CRASH  " + executor.id + "; it is back in " + DOWN_MILLIS + " ms");
                Thread restart = new Thread(() -> {
                    executor.crash();
                    try {
                        Thread.sleep(DOWN_MILLIS);
                        executor.start();
                        record.add("BACK   " + executor.id + " life " + executor.life());
                    } catch (InterruptedException | IOException e) {
                        record.add("the executor could not start again: " + e);
                    }
                });
                restart.start();
                return true;
            }
        };
        try (Deployment deployment = new Deployment(record, 8, 32_000, trouble)) {
            deployment.start(CONFIG);
            Set<String> refused = new HashSet<>();
            for (int i = 0; i < JOBS; i++) {
                String job = String.format("%016x", 0x5c0e7a21d94b3000L + i);
                // Every second job meets the crash; the others show that the deployment serves.
                if (hasTrouble && i % 2 == 1) crashingJobs.add(job);
                if (submit(deployment.fronts.get(i % 3), job)) refused.add(job);
                Thread.sleep(2000);
            }
            boolean isBroken = false;
            for (String job : refused) {
                long starts = deployment.executors.stream().flatMap(it -> it.allRuns().stream()).filter(it -> it.task.startsWith(job)).count();
                record.add("CHECK  job " + job + " was rejected and has " + starts + " start(s)");
                isBroken |= starts > 0;
            }
            return isBroken;
        }
    }

    /** Sends the job as a client does: after no answer, 502 or 504 again 1300 ms later. Returns whether all attempts were rejected. */
    private boolean submit(String front, String job) throws InterruptedException {
        String body = "{\"spec\":\"86\",\"bestEffort\":true,\"steps\":[{\"count\":1,\"cpu\":3100,\"memMb\":64,\"estimateMs\":86}]}";
        boolean isAlwaysRejected = true;
        for (int attempt = 1; attempt <= 3; attempt++) {
            int status = 0;
            String text = "no answer";
            try {
                record.add("POST   " + job + " attempt " + attempt + " to " + front);
                Http.Response response =
                    Http.call(front, Deployment.CALLER_PORT, "POST", "/spot/" + job, "desk.example", "Deadline-Ms: 1500\r\n", body, 1500);
                status = response.status();
                text = response.body();
            } catch (IOException e) {
                text = e.toString();
            }
            record.add("ANSWER " + job + " attempt " + attempt + ": " + status + " " + text);
            isAlwaysRejected &= status == 503 || status == 429;
            if (status != 0 && status != 502 && status != 504) return isAlwaysRejected;
            Thread.sleep(1300);
        }
        return isAlwaysRejected;
    }
}
