import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;

/**
 * An executor is lost for good with a task at work. The client gets 504 and sends the job again on its open connection; the machine of its node
 * is asked to stop meanwhile. Does the client get an answer?
 */
final class LostExecutor extends ReviewCase {
    private static final int DEADLINE_MILLIS = 8000;
    private static final int RESEND_MILLIS = 1300;
    private static final int LOSS_SLACK_MILLIS = 200;
    private static final String CONFIG_WITH_LONG_TIMEOUT = CONFIG.replace("\"timeoutMs\":1500", "\"timeoutMs\":12000");

    private record Outcome(int status, String text, long millis) {}

    public static void main(String[] args) {
        new LostExecutor().run(args[0]);
    }

    @Override
    protected boolean isBroken() throws Exception {
        String job = "5c0e7a21d94b6000";
        AtomicReference<Executor> user = new AtomicReference<>();
        Executor.Trouble trouble = new Executor.Trouble() {
            @Override
            public boolean onStart(Executor executor, Executor.Run run) {
                user.compareAndSet(null, executor);
                return false;
            }
        };
        try (Deployment deployment = new Deployment(record, 8, 32_000, trouble)) {
            deployment.start(CONFIG_WITH_LONG_TIMEOUT);
            String node = deployment.fronts.get(0);
            try (Http connection = new Http(node, Deployment.CALLER_PORT, 20_000)) {
                Thread loss = new Thread(() -> loseExecutor(user));
                if (hasTrouble) loss.start();
                Outcome first = submit(connection, job, 1500);
                loss.join();
                // Without an answer of 504 the client is done with that job, and the connection carries its next one.
                String next = first.status == 504 ? job : "5c0e7a21d94b6001";
                Thread.sleep(RESEND_MILLIS - 300);
                deployment.signal("entry", node, "TERM");
                Thread.sleep(300);
                Outcome second = submit(connection, next, 1500);
                boolean isAnswered = second.status != 0;
                record.add("CHECK  the request was " + (isAnswered ? "answered" : "not answered; its connection ended") + " " + second.millis
                    + " ms after it was sent; its deadline was " + DEADLINE_MILLIS + " ms");
                return !isAnswered && second.millis > LOSS_SLACK_MILLIS && second.millis < DEADLINE_MILLIS;
            }
        }
    }

    /** Ends the executor of the job for good when its task has been at work for 300 ms. */
    private void loseExecutor(AtomicReference<Executor> user) {
        try {
            while (user.get() == null) Thread.sleep(1);
            Thread.sleep(300);
            user.get().crash();
            record.add("LOST   " + user.get().id + " for good");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Outcome submit(Http connection, String job, int millis) {
        String body = "{\"spec\":\"" + millis + "\",\"bestEffort\":true,\"steps\":[{\"count\":1,\"cpu\":3100,\"memMb\":64,\"estimateMs\":" + millis
            + "}]}";
        long start = record.millis();
        try {
            connection.send("POST", "/spot/" + job, "desk.example", "Deadline-Ms: " + DEADLINE_MILLIS + "\r\n", body);
            record.add("POST   " + job);
            Http.Response response = connection.receive();
            record.add("ANSWER " + job + ": " + response.status() + " " + response.body());
            return new Outcome(response.status(), response.body(), record.millis() - start);
        } catch (IOException e) {
            record.add("ANSWER " + job + ": " + e);
            return new Outcome(0, e.toString(), record.millis() - start);
        }
    }
}
