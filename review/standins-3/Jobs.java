import java.util.concurrent.CompletableFuture;

/** Bodies and calls of the callers of jobs that need not be kept. */
final class Jobs {
    private static long lastNumber = System.nanoTime() & 0xFFFFFFL;

    private Jobs() {}

    static synchronized String newId() {
        return String.format("%08x%08x", (int) (System.nanoTime() * 2654435761L), ++lastNumber);
    }

    /** A step of a job; [dependsOn] is -1 for none. */
    static String step(int count, int milliCpu, int estimateMs, int dependsOn) {
        return "{\"count\":" + count + ",\"cpu\":" + milliCpu + ",\"memMb\":64,\"estimateMs\":" + estimateMs
            + (dependsOn < 0 ? "" : ",\"dependsOn\":[" + dependsOn + "]") + "}";
    }

    static String body(String spec, String... steps) {
        return "{\"spec\":\"" + spec + "\",\"bestEffort\":true,\"steps\":[" + String.join(",", steps) + "]}";
    }

    /** Sends [method] for the job [id] to [entry] and records request and response. */
    static CompletableFuture<Http.Response> send(Record record, Deployment.Node entry, String method, String prefix, String id, String body, int waitMs) {
        record.add("client " + method + " " + id + " to " + entry.name);
        return Http.send(entry.callers(), method, prefix + id, Deployment.HOST, body, waitMs).thenApply(response -> {
            record.add("client " + method + " " + id + " answered " + response.status() + " " + response.body());
            return response;
        });
    }
}
