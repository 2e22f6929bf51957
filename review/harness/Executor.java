import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A stand-in for an executor, as "Running tasks" and "Service discovery" of PROTOCOL.md describe it. The spec of a task begins with its run
 * time in milliseconds. One object is one place (address and id); start and crash begin and end its lives.
 */
final class Executor {
    /** One run of a task. endNanos is 0 while it runs. */
    static final class Run {
        final Executor executor;
        final int life;
        final String task;
        final int number;
        final long durationNanos;
        final long startNanos;
        volatile long endNanos;
        volatile String how = "";
        long stopAtNanos = Long.MAX_VALUE;

        Run(Executor executor, int life, String task, int number, long durationNanos) {
            this.executor = executor;
            this.life = life;
            this.task = task;
            this.number = number;
            this.durationNanos = durationNanos;
            startNanos = System.nanoTime();
        }

        int percent(long now) {
            return (int) Math.min(99, (now - startNanos) * 100 / Math.max(1, durationNanos));
        }

        String job() {
            return task.substring(0, task.indexOf('.'));
        }

        @Override
        public String toString() {
            return task + " run " + number + " on " + executor.id + " (life " + life + ")";
        }
    }

    private record End(long number, Run run, String how) {}

    final String id;
    final String host;
    final int port;
    private final String agent;
    private final String zone;
    private final String service;
    private final Recorder recorder;

    /** Settings that a case may change before a life starts. */
    int cpu = 8000;
    int memMb = 16384;
    long maxHoldMs = 1000;
    long heartbeatMs = 1500;
    /** How long a stop takes; at most stopTimeoutMs (50). */
    long stopMs = 20;
    /** Time between the first moment at which this life answers calls and its first heartbeat. */
    long firstHeartbeatMs = 0;
    /** Offset of this machine's time of day. */
    volatile long wallOffsetMs = 0;
    volatile String state = "ready";

    /** All runs of all lives. */
    final List<Run> runs = new ArrayList<>();
    /** Highest total of cpu that ran at once beyond the capacity of the life, 0 if it was kept. */
    private final Map<String, Integer> cpuOfJob = new HashMap<>();

    private HttpServer server;
    private ExecutorService threads;
    private volatile boolean isUp;
    private int life;
    private long lifeStartNanos;
    private long born;
    private long sequence;
    private long fence;
    private long leaseEndMs;
    private long lastEnd;
    private long forgottenUpTo;
    private final List<Run> running = new ArrayList<>();
    private final List<End> ends = new ArrayList<>();
    private final Map<String, Integer> closedNumbers = new HashMap<>();

    Executor(String id, String host, int port, String agent, String zone, String service, Recorder recorder) {
        this.id = id;
        this.host = host;
        this.port = port;
        this.agent = agent;
        this.zone = zone;
        this.service = service;
        this.recorder = recorder;
    }

    boolean isUp() {
        return isUp;
    }

    long born() {
        return born;
    }

    /** Starts a life: it answers calls at once, and sends its first heartbeat after firstHeartbeatMs. */
    synchronized void start() throws IOException {
        life++;
        lifeStartNanos = System.nanoTime();
        born = System.currentTimeMillis() + wallOffsetMs;
        sequence = 0;
        fence = 0;
        leaseEndMs = 0;
        lastEnd = 0;
        forgottenUpTo = 0;
        state = "ready";
        running.clear();
        ends.clear();
        closedNumbers.clear();
        threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "executor-" + id);
            thread.setDaemon(true);
            return thread;
        });
        int current = life;
        HttpServer next = HttpServer.create(new InetSocketAddress(host, port), 100);
        next.setExecutor(threads);
        next.createContext("/", exchange -> handle(exchange, current));
        isUp = true;
        server = next;
        next.start();
        recorder.line("executor %s starts life %d, born %d", id, life, born);
        threads.execute(() -> heartbeats(current));
        threads.execute(() -> endRuns(current));
    }

    /** Ends the life at once, like SIGKILL. */
    void crash() {
        ExecutorService old;
        synchronized (this) {
            if (!isUp) return;
            isUp = false;
            recorder.line("executor %s crashes with %d runs", id, running.size());
            for (Run run : running) finish(run, "crashed");
            running.clear();
            notifyAll();
            old = threads;
        }
        server.stop(0);
        old.shutdownNow();
    }

    private long clockMs() {
        return (System.nanoTime() - lifeStartNanos) / 1_000_000;
    }

    private void heartbeats(int ownLife) {
        try {
            Thread.sleep(firstHeartbeatMs);
            while (isUp && life == ownLife) {
                sendHeartbeat();
                Thread.sleep(heartbeatMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one heartbeat of the current life; returns the status or 0. */
    int sendHeartbeat() {
        String body;
        synchronized (this) {
            body = heartbeat(id, service, state, born, ++sequence);
        }
        return post("/bluebellramp/instances/" + id + "/heartbeat", body);
    }

    String heartbeat(String id, String service, String state, long born, long sequence) {
        return String.format(
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"coldRemainingMs\":0,"
                + "\"capacity\":{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":%d,\"sequence\":%d,\"born\":%d%s}",
            service, host, port, zone, state, cpu, memMb, clockMs(), sequence, born, state.equals("draining") ? ",\"remainingMs\":2000" : "");
    }

    /** Posts to the agent; returns the status or 0. */
    int post(String path, String body) {
        try {
            HttpURLConnection connection = (HttpURLConnection) new URL("http://" + agent + path).openConnection();
            connection.setRequestMethod("POST");
            connection.setConnectTimeout(1000);
            connection.setReadTimeout(1000);
            connection.setDoOutput(true);
            connection.setRequestProperty("Content-Type", "application/json");
            connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
            int status = connection.getResponseCode();
            (status < 400 ? connection.getInputStream() : connection.getErrorStream()).readAllBytes();
            recorder.line("beat to %s: %s -> %d", agent, body, status);
            return status;
        } catch (IOException e) {
            recorder.line("beat to %s: %s -> %s", agent, body, e);
            return 0;
        }
    }

    private void handle(HttpExchange exchange, int ownLife) throws IOException {
        try {
            String path = exchange.getRequestURI().getPath();
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
            int status;
            String answer;
            if (expected != null && !expected.equals(id)) {
                status = 421;
                answer = "{\"clockMs\":" + clockMs() + "}";
            } else {
                Map<String, Object> fields = Json.object(body);
                String[] result = switch (path) {
                    case "/bluebellramp/run-start" -> startRun(fields);
                    case "/bluebellramp/run-stop" -> stopRun(fields);
                    case "/bluebellramp/hold" -> hold(fields, ownLife);
                    default -> new String[] {"404", "{}"};
                };
                status = Integer.parseInt(result[0]);
                answer = result[1];
            }
            if (!isUp || life != ownLife) return;
            byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private String[] refuse(String reason) {
        return new String[] {"409", "{\"clockMs\":" + clockMs() + ",\"reason\":\"" + reason + "\"}"};
    }

    private String[] done() {
        return new String[] {"200", "{\"clockMs\":" + clockMs() + "}"};
    }

    private static long number(Map<String, Object> fields, String name) {
        Object value = fields.get(name);
        return value == null ? 0 : ((Double) value).longValue();
    }

    private boolean isFenced(Map<String, Object> fields) {
        long token = number(fields, "fenceToken");
        if (token < fence) return true;
        fence = token;
        return false;
    }

    private void extendLease(Map<String, Object> fields) {
        if (!fields.containsKey("deadlineMs")) return;
        leaseEndMs = Math.max(leaseEndMs, Math.min(number(fields, "deadlineMs"), clockMs() + maxHoldMs));
    }

    private synchronized String[] startRun(Map<String, Object> fields) {
        String task = (String) fields.get("task");
        int number = (int) number(fields, "run");
        if (isFenced(fields)) return refuse("fence");
        for (Run run : running) if (run.task.equals(task) && run.number == number) return done();
        if (number <= closedNumbers.getOrDefault(task, 0)) {
            extendLease(fields);
            return refuse("old");
        }
        if (number(fields, "deadlineMs") <= clockMs()) return refuse("late");
        extendLease(fields);
        String spec = (String) fields.get("spec");
        long millis = Long.parseLong(spec.split(" ")[0]);
        Run run = new Run(this, life, task, number, millis * 1_000_000);
        running.add(run);
        synchronized (runs) {
            runs.add(run);
        }
        recorder.line("start of %s", run);
        return done();
    }

    private synchronized String[] stopRun(Map<String, Object> fields) {
        if (isFenced(fields)) return refuse("fence");
        String task = (String) fields.get("task");
        int number = (int) number(fields, "run");
        closedNumbers.merge(task, number, Math::max);
        for (Run run : running) {
            if (run.task.equals(task) && run.number == number && run.stopAtNanos == Long.MAX_VALUE) {
                run.stopAtNanos = System.nanoTime() + stopMs * 1_000_000;
                recorder.line("order to stop %s", run);
            }
        }
        return done();
    }

    private synchronized String[] hold(Map<String, Object> fields, int ownLife) throws InterruptedException {
        if (isFenced(fields)) return refuse("fence");
        extendLease(fields);
        long lastSeen = number(fields, "lastSeen");
        ends.removeIf(end -> end.number() <= lastSeen);
        long until = System.nanoTime() + Math.min(2000, number(fields, "waitMs")) * 1_000_000;
        while (isUp && life == ownLife && ends.isEmpty()) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) break;
            wait(left);
        }
        long now = System.nanoTime();
        StringBuilder out = new StringBuilder("{\"clockMs\":" + clockMs() + ",\"born\":" + born + ",\"running\":[");
        String separator = "";
        for (Run run : running) {
            out.append(separator).append(String.format("[\"%s\",%d,\"\",%d,%d]", run.task, run.number, run.percent(now), 1000));
            separator = ",";
        }
        out.append("],\"endedRuns\":[");
        separator = "";
        for (End end : ends) {
            out.append(separator).append(String.format("[%d,\"%s\",%d,\"%s\",\"\"]", end.number(), end.run().task, end.run().number, end.how()));
            separator = ",";
        }
        return new String[] {"200", out.append("]}").toString()};
    }

    private void finish(Run run, String how) {
        run.how = how;
        run.endNanos = System.nanoTime();
        recorder.line("end of %s: %s", run, how);
    }

    /** Ends runs that are done, stopped, or whose lease has run out. */
    private void endRuns(int ownLife) {
        try {
            while (isUp && life == ownLife) {
                synchronized (this) {
                    if (!isUp || life != ownLife) return;
                    long now = System.nanoTime();
                    boolean isLapsed = clockMs() >= leaseEndMs;
                    for (Run run : new ArrayList<>(running)) {
                        String how = null;
                        if (now - run.startNanos >= run.durationNanos) how = "done";
                        else if (now >= run.stopAtNanos) how = "stopped";
                        else if (isLapsed) how = "lapsed";
                        if (how == null) continue;
                        running.remove(run);
                        finish(run, how);
                        closedNumbers.merge(run.task, run.number, Math::max);
                        ends.add(new End(++lastEnd, run, how));
                        notifyAll();
                    }
                }
                Thread.sleep(1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
