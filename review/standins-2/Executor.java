import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for an executor: leases, fences, run numbers, stops and lists as PROTOCOL.md says. The spec of a task is its run time (ms).
 */
final class Executor implements AutoCloseable {
    /** One run. Times are from System.nanoTime; endNanos is 0 while the run goes on. */
    static final class Run {
        final String executor;
        final int life;
        final String task;
        final int number;
        final int milliCpu;
        final long startNanos = System.nanoTime();
        final long durationNanos;
        volatile long stopNanos = Long.MAX_VALUE;
        volatile long endNanos;
        volatile String end = "running";

        Run(String executor, int life, String task, int number, int milliCpu, long durationNanos) {
            this.executor = executor;
            this.life = life;
            this.task = task;
            this.number = number;
            this.milliCpu = milliCpu;
            this.durationNanos = durationNanos;
        }
    }

    /** What a script may do to an executor. */
    interface Trouble {
        /** Called once a run has begun, before the answer is sent. Returns true if the answer must not be sent. */
        default boolean onStart(Executor executor, Run run) {
            return false;
        }
    }

    private record End(long number, Run run) {}

    private static final long MAX_HOLD_MILLIS = 1000;
    private static final long STOP_MILLIS = 40;
    private static final long HEARTBEAT_MILLIS = 1500;
    private static final long NANOS = 1_000_000;

    final String host;
    final String zone;
    final String id;
    private final int port;
    private final int agentPort;
    private final int milliCpu;
    private final Record record;
    private final Trouble trouble;
    /** All runs of all lives, in the order of their starts. */
    final List<Run> runs = new ArrayList<>();
    private final Map<String, Integer> closedNumbers = new HashMap<>();
    private final List<Run> running = new ArrayList<>();
    private final List<End> ends = new ArrayList<>();
    private int life;
    private volatile boolean isUp;
    private long bornMillis;
    private long lifeStartNanos;
    private long leaseEndMillis;
    private long fence;
    private long lastEnd;
    private long sequence;
    private HttpServer server;
    private ExecutorService threads;

    Executor(String host, int port, int agentPort, String zone, int milliCpu, Record record, Trouble trouble) {
        this.host = host;
        this.port = port;
        this.agentPort = agentPort;
        this.zone = zone;
        this.milliCpu = milliCpu;
        this.record = record;
        this.trouble = trouble;
        this.id = "i-" + host.substring(host.lastIndexOf('.') + 1);
    }

    /** Starts a life under the same id. It holds and knows nothing of before. */
    synchronized void start() throws IOException {
        life++;
        bornMillis = System.currentTimeMillis();
        lifeStartNanos = System.nanoTime();
        leaseEndMillis = 0;
        fence = 0;
        lastEnd = 0;
        sequence = 0;
        running.clear();
        ends.clear();
        closedNumbers.clear();
        threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "executor-" + id);
            thread.setDaemon(true);
            return thread;
        });
        server = HttpServer.create(new InetSocketAddress(host, port), 100);
        server.setExecutor(threads);
        int own = life;
        server.createContext("/", exchange -> handle(exchange, own));
        isUp = true;
        server.start();
        threads.execute(() -> sendHeartbeats(own));
        threads.execute(() -> endRuns(own));
    }

    /** Ends the life at once, without a word to anybody. All that ran is gone. */
    void crash() {
        HttpServer oldServer;
        ExecutorService oldThreads;
        synchronized (this) {
            if (!isUp) return;
            isUp = false;
            for (Run run : running) {
                run.end = "gone with the crash";
                run.endNanos = System.nanoTime();
            }
            running.clear();
            oldServer = server;
            oldThreads = threads;
        }
        oldServer.stop(0);
        oldThreads.shutdownNow();
    }

    @Override
    public void close() {
        crash();
    }

    List<Run> allRuns() {
        synchronized (runs) {
            return new ArrayList<>(runs);
        }
    }

    int life() {
        return life;
    }

    private boolean isCurrent(int own) {
        return isUp && life == own;
    }

    private long clockMillis() {
        return (System.nanoTime() - lifeStartNanos) / NANOS;
    }

    private void sendHeartbeats(int own) {
        try {
            while (isCurrent(own)) {
                String body;
                synchronized (this) {
                    body = "{\"service\":\"desk\",\"address\":\"" + host + ":" + port + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{\"cpu\":" + milliCpu
                        + ",\"memMb\":131072,\"gpu\":0},\"labels\":[\"a\",\"r1\"],\"clockMs\":" + clockMillis() + ",\"sequence\":" + ++sequence
                        + ",\"born\":" + bornMillis + "}";
                }
                try {
                    Http.call(host, agentPort, "POST", "/bluebellramp/instances/" + id + "/heartbeat", host, "", body, 1000);
                } catch (IOException e) {
                    record.add("heartbeat of " + id + " got no answer");
                }
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(HttpExchange exchange, int own) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
            String path = exchange.getRequestURI().getPath();
            Answer answer;
            if (expected != null && !expected.equals(id)) answer = new Answer(421, "{\"clockMs\":" + clockMillis() + "}");
            else if (path.endsWith("/run-start")) answer = startRun(body, own);
            else if (path.endsWith("/run-stop")) answer = stopRun(body, own);
            else answer = hold(body, own);
            if (answer == null || !isCurrent(own)) return;
            byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The agent has closed the connection.
        }
    }

    private record Answer(int status, String body) {}

    private Answer accepted() {
        return new Answer(200, "{\"clockMs\":" + clockMillis() + "}");
    }

    private Answer refused(String reason) {
        return new Answer(409, "{\"clockMs\":" + clockMillis() + ",\"reason\":\"" + reason + "\"}");
    }

    private boolean isFenced(String body) {
        long token = number(body, "fenceToken", 0);
        if (token < fence) return true;
        fence = token;
        return false;
    }

    private void extendLease(String body) {
        long until = number(body, "deadlineMs", -1);
        if (until >= 0) leaseEndMillis = Math.max(leaseEndMillis, Math.min(until, clockMillis() + MAX_HOLD_MILLIS));
    }

    private Answer startRun(String body, int own) {
        Run run;
        synchronized (this) {
            if (!isCurrent(own)) return null;
            endDueRuns();
            if (isFenced(body)) return refused("fence");
            String task = text(body, "task");
            int number = (int) number(body, "run", 0);
            for (Run other : running) if (other.task.equals(task) && other.number == number) return accepted();
            if (number <= closedNumbers.getOrDefault(task, 0)) {
                extendLease(body);
                return refused("old");
            }
            if (number(body, "deadlineMs", 0) <= clockMillis()) return refused("late");
            extendLease(body);
            run = new Run(id, own, task, number, 1000, Long.parseLong(text(body, "spec").split(" ")[0]) * NANOS);
            running.add(run);
            synchronized (runs) {
                runs.add(run);
            }
            record.add("START  " + run.task + " run " + run.number + " on " + id + " life " + own);
        }
        return trouble.onStart(this, run) ? null : accepted();
    }

    private synchronized Answer stopRun(String body, int own) {
        if (!isCurrent(own)) return null;
        endDueRuns();
        if (isFenced(body)) return refused("fence");
        String task = text(body, "task");
        int number = (int) number(body, "run", 0);
        closedNumbers.merge(task, number, Math::max);
        for (Run run : running) {
            if (run.task.equals(task) && run.number == number && run.stopNanos == Long.MAX_VALUE) {
                run.stopNanos = System.nanoTime() + STOP_MILLIS * NANOS;
            }
        }
        return accepted();
    }

    private Answer hold(String body, int own) {
        synchronized (this) {
            if (!isCurrent(own)) return null;
            endDueRuns();
            if (isFenced(body)) return refused("fence");
            extendLease(body);
            long lastSeen = number(body, "lastSeen", 0);
            ends.removeIf(end -> end.number <= lastSeen);
        }
        long until = System.nanoTime() + number(body, "waitMs", 0) * NANOS;
        try {
            while (isCurrent(own) && System.nanoTime() < until) {
                synchronized (this) {
                    if (!ends.isEmpty()) break;
                }
                Thread.sleep(1);
            }
        } catch (InterruptedException e) {
            return null;
        }
        synchronized (this) {
            if (!isCurrent(own)) return null;
            endDueRuns();
            StringBuilder rows = new StringBuilder();
            long now = System.nanoTime();
            for (Run run : running) {
                long percent = Math.min(99, (now - run.startNanos) * 100 / Math.max(1, run.durationNanos));
                rows.append(rows.length() == 0 ? "" : ",").append("[\"").append(run.task).append("\",").append(run.number).append(",\"\",")
                    .append(percent).append(",").append(run.milliCpu).append("]");
            }
            StringBuilder endRows = new StringBuilder();
            for (End end : ends) {
                endRows.append(endRows.length() == 0 ? "" : ",").append("[").append(end.number).append(",\"").append(end.run.task).append("\",")
                    .append(end.run.number).append(",\"").append(end.run.end).append("\",\"\"]");
            }
            return new Answer(200, "{\"clockMs\":" + clockMillis() + ",\"born\":" + bornMillis + ",\"running\":[" + rows + "],\"endedRuns\":["
                + endRows + "]}");
        }
    }

    private void endRuns(int own) {
        try {
            while (isCurrent(own)) {
                synchronized (this) {
                    if (isCurrent(own)) endDueRuns();
                }
                Thread.sleep(1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the runs that are done, stopped or without a lease, at the time at which that was so. */
    private void endDueRuns() {
        long now = System.nanoTime();
        long leaseEnd = lifeStartNanos + leaseEndMillis * NANOS;
        for (Run run : new ArrayList<>(running)) {
            long own = run.startNanos + run.durationNanos;
            long end = Math.min(own, Math.min(run.stopNanos, leaseEnd));
            if (end > now) continue;
            run.end = end == own ? "done" : end == run.stopNanos ? "stopped" : "lapsed";
            run.endNanos = end;
            running.remove(run);
            closedNumbers.merge(run.task, run.number, Math::max);
            ends.add(new End(++lastEnd, run));
            record.add("END    " + run.task + " run " + run.number + " on " + id + " " + run.end);
        }
    }

    private static String text(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(body);
        if (!matcher.find()) throw new IllegalArgumentException("no " + name + " in " + body);
        return matcher.group(1);
    }

    private static long number(String body, String name, long otherwise) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(-?[0-9]+)").matcher(body);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : otherwise;
    }
}
