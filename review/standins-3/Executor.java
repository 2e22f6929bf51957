import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An executor that follows PROTOCOL.md, "Running tasks" and "Service discovery". It starts whatever it is told to start.
 *
 * The spec of a job is "MIN-MAX": the work of each task in milliseconds, spread by the task's name.
 */
final class Executor {
    /** One run, for the checks. [endedAt] is -1 while it works. */
    static final class Run {
        final String task;
        final long number;
        final Executor executor;
        final String spec;
        final long startedAt;
        final long durationMs;
        long endedAt = -1;
        String how = "";

        Run(String task, long number, Executor executor, String spec, long startedAt, long durationMs) {
            this.task = task;
            this.number = number;
            this.executor = executor;
            this.spec = spec;
            this.startedAt = startedAt;
            this.durationMs = durationMs;
        }
    }

    private static final ScheduledExecutorService LATE_ORDERS =
        Executors.newScheduledThreadPool(2, action -> {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            return thread;
        });
    private static final int MAX_HOLD_MS = 1000;
    private static final int HEARTBEAT_MS = 1500;
    private static final int MAX_ENDS = 500;

    final String id;
    final String zone;
    private final String address;
    private final String agent;
    private final String service;
    private final int milliCpu;
    private final Record record;
    private final List<Run> allRuns;
    private final long bornMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime() - 400_000_000_000L;
    private final Map<String, Run> running = new LinkedHashMap<>();

    /** The highest run of each task that was started or stopped here; no other run that is not higher starts. */
    private final Map<String, Long> highestNumbers = new HashMap<>();
    private final List<Object[]> ends = new ArrayList<>();
    private long lastEnd;
    private long highestFence;
    private long leaseEnd;
    private long sequence;
    private final Random random;
    private volatile double lateShare;
    private volatile boolean isDraining;
    private volatile boolean isGone;
    private ServerSocket server;

    Executor(String id, String zone, String host, int port, String agent, String service, int milliCpu, Record record, List<Run> allRuns) {
        this.id = id;
        this.zone = zone;
        this.address = host + ":" + port;
        this.agent = agent;
        this.service = service;
        this.milliCpu = milliCpu;
        this.record = record;
        this.allRuns = allRuns;
        this.random = new Random(id.hashCode());
    }

    /** From now on a share [share] of the orders to start and to stop gets no answer and is carried out 2 to 12 s later. */
    void carryOutLate(double share) {
        lateShare = share;
    }

    void start() throws Exception {
        int colon = address.lastIndexOf(':');
        server = Http.serve(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)), this::handle);
        Http.daemon(() -> {
            while (!isGone) {
                beat();
                Thread.sleep(HEARTBEAT_MS);
            }
        });
        Http.daemon(() -> {
            while (!isGone) {
                endDue();
                Thread.sleep(2);
            }
        });
    }

    private void beat() {
        String body =
            "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":8,\"state\":\""
                + (isDraining ? "draining" : "ready") + "\",\"coldRemainingMs\":0,\"capacity\":{\"cpu\":" + milliCpu
                + ",\"memMb\":131072,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":" + clock() + ",\"sequence\":" + ++sequence + ",\"born\":" + bornMs
                + "}";
        Http.send(agent, "POST", "/bluebellramp/instances/" + id + "/heartbeat", agent, body, 1000);
    }

    private long clock() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private Http.Response handle(Http.Request request) throws InterruptedException {
        if (request.path().equals("/health")) return new Http.Response(200, "{}");
        if (!request.headers().getOrDefault("expect-instance", id).equals(id)) return answer(421, "other");
        Map<String, Object> body = Json.object(request.body());
        boolean isOrder = request.path().endsWith("run-start") || request.path().endsWith("run-stop");
        boolean isLate;
        long delay;
        synchronized (this) {
            isLate = isOrder && random.nextDouble() < lateShare;
            delay = 2000 + random.nextInt(10_000);
        }
        if (!isLate) return carryOut(request, body);
        record.add("late   " + request.path() + " " + body.get("task") + " run " + Json.number(body, "run", 0) + " at " + id + " in " + delay + " ms");
        LATE_ORDERS.schedule(() -> carryOut(request, body), delay, TimeUnit.MILLISECONDS);
        return null;
    }

    private Http.Response carryOut(Http.Request request, Map<String, Object> body) throws InterruptedException {
        synchronized (this) {
            long fence = Json.number(body, "fenceToken", 0);
            if (fence < highestFence) return answer(409, "fence");
            highestFence = fence;
            extendLease(Json.number(body, "deadlineMs", 0));
        }
        return switch (request.path()) {
            case "/bluebellramp/run-start" -> startRun(body);
            case "/bluebellramp/run-stop" -> stopRun(body);
            case "/bluebellramp/hold" -> hold(body);
            default -> answer(400, "path");
        };
    }

    private void extendLease(long deadlineMs) {
        leaseEnd = Math.max(leaseEnd, Math.min(deadlineMs, clock() + MAX_HOLD_MS));
    }

    private synchronized Http.Response startRun(Map<String, Object> body) {
        endDue();
        String task = (String) body.get("task");
        long number = Json.number(body, "run", 0);
        if (running.containsKey(key(task, number))) return answer(200, null);
        if (number <= highestNumbers.getOrDefault(task, 0L)) return answer(409, "old");
        if (clock() >= leaseEnd) return answer(409, "late");
        String spec = (String) body.get("spec");
        Run run = new Run(task, number, this, spec, record.add("run    start " + task + " run " + number + " at " + id), duration(spec, task));
        running.put(key(task, number), run);
        highestNumbers.put(task, number);
        synchronized (allRuns) {
            allRuns.add(run);
        }
        return answer(200, null);
    }

    private static String key(String task, long number) {
        return task + '/' + number;
    }

    private static long duration(String spec, String task) {
        String[] bounds = spec.split("-");
        long least = Long.parseLong(bounds[0]);
        long most = Long.parseLong(bounds[1]);
        return least + Math.floorMod(task.hashCode() * 2654435761L, most - least + 1);
    }

    private synchronized Http.Response stopRun(Map<String, Object> body) {
        endDue();
        String task = (String) body.get("task");
        long number = Json.number(body, "run", 0);
        Run run = running.get(key(task, number));
        if (run != null) end(run, "stopped");
        highestNumbers.merge(task, number, Math::max);
        return answer(200, null);
    }

    private synchronized Http.Response hold(Map<String, Object> body) throws InterruptedException {
        long lastSeen = Json.number(body, "lastSeen", 0);
        ends.removeIf(end -> (long) end[0] <= lastSeen);
        long until = clock() + Math.min(2000, Json.number(body, "waitMs", 0));
        for (long left = until - clock(); left > 0 && ends.isEmpty(); left = until - clock()) wait(left);
        StringBuilder rows = new StringBuilder();
        for (Run run : running.values()) {
            long percent = Math.min(99, (record.now() - run.startedAt) * 100 / Math.max(1, run.durationMs));
            rows.append(rows.isEmpty() ? "" : ",").append("[\"").append(run.task).append("\",").append(run.number).append(",\"\",").append(percent).append(",1000]");
        }
        StringBuilder endRows = new StringBuilder();
        for (Object[] end : ends.subList(0, Math.min(MAX_ENDS, ends.size()))) {
            endRows.append(endRows.isEmpty() ? "" : ",").append("[").append(end[0]).append(",\"").append(end[1]).append("\",").append(end[2]).append(",\"").append(end[3]).append("\",\"\"]");
        }
        return new Http.Response(200, "{\"clockMs\":" + clock() + ",\"born\":" + bornMs + ",\"running\":[" + rows + "],\"endedRuns\":[" + endRows + "]}");
    }

    private synchronized void endDue() {
        if (clock() >= leaseEnd) {
            for (Run run : List.copyOf(running.values())) end(run, "lapsed");
        }
        long now = record.now();
        for (Run run : List.copyOf(running.values())) {
            if (now >= run.startedAt + run.durationMs) end(run, "done");
        }
    }

    private void end(Run run, String how) {
        running.remove(key(run.task, run.number));
        run.how = how;
        run.endedAt = record.add("run    " + how + " " + run.task + " run " + run.number + " at " + id);
        ends.add(new Object[] {++lastEnd, run.task, run.number, how});
        notifyAll();
    }

    private Http.Response answer(int status, String reason) {
        return new Http.Response(status, "{\"clockMs\":" + clock() + ",\"born\":" + bornMs + (reason == null ? "" : ",\"reason\":\"" + reason + "\"") + "}");
    }

    synchronized int runningCount() {
        return running.size();
    }
}
