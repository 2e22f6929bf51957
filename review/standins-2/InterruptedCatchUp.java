import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.TimeUnit;

/**
 * A control process comes back after some seconds and is killed again while it catches up. Later the core is killed and one other machine loses
 * its disk, which is to be borne. Does the newest acknowledged configuration come back?
 */
final class InterruptedCatchUp extends ReviewCase {
    private static final int FEWEST_MISSED_READS = 190;
    private static final int MAX_TRIES = 6;
    private static final int READ_BACK_SECONDS = 25;

    private int version = 7;

    public static void main(String[] args) {
        new InterruptedCatchUp().run(args[0]);
    }

    @Override
    protected boolean isBroken() throws Exception {
        try (Deployment deployment = new Deployment(record, 1, 32_000, new Executor.Trouble() {})) {
            deployment.start(CONFIG);
            for (int i = 0; i < 5; i++) replace(deployment);
            boolean isInterrupted = false;
            for (int attempt = 0; attempt < MAX_TRIES && !isInterrupted; attempt++) {
                int leader = leader(deployment);
                String follower = deployment.fronts.get((leader + 1) % 3);
                isInterrupted = catchUp(deployment, deployment.fronts.get(leader), follower, FEWEST_MISSED_READS + 13 * attempt);
                if (!hasTrouble) break;
            }
            if (hasTrouble && !isInterrupted) throw new IOException("the process was never killed between the two files");
            for (int i = 0; i < 3; i++) replace(deployment);
            Thread.sleep(1000);
            int acknowledged = version;
            String lost = deployment.fronts.get(leader(deployment));
            for (String front : deployment.fronts) deployment.signal("control", front, "KILL");
            for (String front : deployment.fronts) deployment.process("control", front).waitFor();
            deployment.loseDisk(lost);
            Thread.sleep(500);
            for (String front : deployment.fronts) deployment.restart("control", front);
            record.add("BACK   all processes of the core were started again");
            int after = readBack(deployment);
            record.add("CHECK  " + (after < 0 ? "no version" : "version " + after) + " is read back; acknowledged was " + acknowledged);
            return after != acknowledged;
        }
    }

    /**
     * Keeps {@code follower} down while the log moves on, and starts it again. With trouble, it is killed when it has stored the snapshot of the
     * leader. Returns whether its log had not been replaced by then, and was not by a snapshot of its own after it had come back.
     */
    private boolean catchUp(Deployment deployment, String leader, String follower, int reads) throws Exception {
        deployment.signal("control", follower, "KILL");
        deployment.process("control", follower).waitFor();
        long start = System.nanoTime();
        for (int i = 0; i < reads; i++) read(leader);
        replace(deployment);
        record.add("READS  " + reads + " reads and one change in " + (System.nanoTime() - start) / 1_000_000 + " ms");
        Path folder = deployment.dataFolder(follower).resolve("log");
        Object snapshot = key(folder.resolve("snapshot"));
        Object log = key(folder.resolve("log"));
        deployment.restart("control", follower);
        Process process = deployment.process("control", follower);
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (System.nanoTime() < until) {
            Object now = key(folder.resolve("snapshot"));
            if (now == null || now.equals(snapshot)) continue;
            if (!hasTrouble) return false;
            process.destroyForcibly().waitFor();
            boolean isBetween = key(folder.resolve("log")).equals(log) && Files.size(folder.resolve("log")) > 0;
            record.add("KILLED the control of " + follower + (isBetween ? " between the two files" : " too late"));
            Thread.sleep(500);
            deployment.restart("control", follower);
            Thread.sleep(3000);
            if (!isBetween || key(folder.resolve("log")).equals(log)) return isBetween;
            record.add("its log was replaced since");
            return false;
        }
        record.add("the follower stored no snapshot");
        return false;
    }

    private static Object key(Path file) throws IOException {
        return Files.exists(file) ? Files.readAttributes(file, BasicFileAttributes.class).fileKey() : null;
    }

    /** Returns the number of the front whose control answers a read by itself. */
    private int leader(Deployment deployment) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (System.nanoTime() < until) {
            for (int i = 0; i < 3; i++) {
                try (Http http = new Http(deployment.fronts.get(i), Deployment.OPERATOR_PORT, 1000)) {
                    http.send("GET", "/bluebellramp/config/describe", "operator", "", "");
                    if (http.receive().status() == 200) return i;
                } catch (IOException e) {
                    // The next one.
                }
            }
            Thread.sleep(100);
        }
        throw new IOException("there is no leader");
    }

    private int read(String front) {
        try {
            Http.Response response = Http.call(front, Deployment.OPERATOR_PORT, "GET", "/bluebellramp/config/describe", front, "", "", 1000);
            if (response.status() == 200) return Integer.parseInt(response.body().replaceAll("(?s)^\\{\"version\":([0-9]+).*", "$1"));
        } catch (IOException e) {
            // No answer.
        }
        return -1;
    }

    private int readBack(Deployment deployment) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READ_BACK_SECONDS);
        for (int attempt = 0; System.nanoTime() < until; attempt++) {
            int found = read(deployment.fronts.get(attempt % 3));
            if (found >= 0) return found;
            Thread.sleep(150);
        }
        return -1;
    }

    /** Sends the next version to one control after the other until it is acknowledged. */
    private void replace(Deployment deployment) throws Exception {
        version++;
        String body = CONFIG.replace("\"version\":7", "\"version\":" + version).replace("\"timeoutMs\":1500", "\"timeoutMs\":" + (1500 + version % 7));
        for (int attempt = 0; attempt < 60; attempt++) {
            if (deployment.configure(body)) {
                record.add("ACK    version " + version);
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("version " + version + " was not acknowledged");
    }
}
