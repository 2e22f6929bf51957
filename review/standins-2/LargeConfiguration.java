import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * The configuration grows by 350 routes at a time and then changes some more; all processes of the core are killed at the same moment and are
 * back within a second. Does the newest acknowledged version come when it is read back?
 */
final class LargeConfiguration extends ReviewCase {
    private static final int ROUTES_PER_STEP = 350;
    private static final int READ_BACK_SECONDS = 25;

    private int version = 7;
    private int routes;

    public static void main(String[] args) {
        new LargeConfiguration().run(args[0]);
    }

    @Override
    protected boolean isBroken() throws Exception {
        int steps = Integer.getInteger("steps", 6);
        int changes = Integer.getInteger("changes", 50);
        try (Deployment deployment = new Deployment(record, 1, 32_000, new Executor.Trouble() {})) {
            deployment.start(CONFIG);
            for (int step = 0; step < steps; step++) {
                routes += ROUTES_PER_STEP;
                replace(deployment);
                Thread.sleep(200);
            }
            for (int change = 0; change < changes; change++) {
                replace(deployment);
                Thread.sleep(200);
            }
            int acknowledged = version;
            int before = readBack(deployment, 5);
            record.add("CHECK  before the restart version " + before + " is read back; acknowledged was " + acknowledged);
            if (before != acknowledged) throw new IOException("the newest version is not read back before the disruption");
            if (hasTrouble) {
                for (String front : deployment.fronts) deployment.signal("control", front, "KILL");
                Thread.sleep(600);
                for (int i = 0; i < 3; i++) deployment.restart("control", deployment.fronts.get(i));
                record.add("BACK   all processes of the core were started again");
            }
            int after = readBack(deployment, READ_BACK_SECONDS);
            record.add("CHECK  " + (after < 0 ? "no version" : "version " + after) + " is read back; acknowledged was " + acknowledged);
            return after != acknowledged;
        }
    }

    /** Sends the next version to one control after the other, as an operator does, until it is acknowledged. */
    private void replace(Deployment deployment) throws Exception {
        version++;
        String body = config();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        for (int attempt = 0; System.nanoTime() < until; attempt++) {
            try {
                int timeout = 1000 + 3 * routes;
                String front = deployment.fronts.get(attempt % 3);
                Http.Response response =
                    Http.call(front, Deployment.OPERATOR_PORT, "POST", "/bluebellramp/config/replace", front, "", body, timeout);
                if (response.status() == 200) {
                    record.add("ACK    version " + version + " with " + routes + " routes more, " + body.length() + " bytes");
                    return;
                }
            } catch (IOException e) {
                // The next one.
            }
            Thread.sleep(100);
        }
        throw new IOException("version " + version + " was not acknowledged");
    }

    /** Reads the configuration until it comes, for some seconds. Returns its version, or -1. */
    private int readBack(Deployment deployment, int seconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        String last = "";
        for (int attempt = 0; System.nanoTime() < until; attempt++) {
            String front = deployment.fronts.get(attempt % 3);
            try {
                Http.Response response =
                    Http.call(front, Deployment.OPERATOR_PORT, "GET", "/bluebellramp/config/describe", front, "", "", 1000 + 3 * routes);
                if (response.status() == 200) return Integer.parseInt(response.body().replaceAll("(?s)^\\{\"version\":([0-9]+).*", "$1"));
                last = response.status() + " " + response.body();
            } catch (IOException e) {
                last = e.toString();
            }
            if (attempt % 15 == 0) record.add("READ   from " + front + ": " + last);
            Thread.sleep(150);
        }
        return -1;
    }

    private String config() {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[" + route(0, "desk.example", "/spot/", 1500 + version % 7));
        for (int i = 1; i <= routes; i++) text.append(',').append(route(i, "h" + i + ".example", "/q" + i + "/", 1500));
        return text + "]" + CONFIG.substring(CONFIG.indexOf(",\"services\""));
    }

    private static String route(int number, String host, String prefix, int timeoutMillis) {
        return "{\"name\":\"r-" + String.format("%07d", number) + "\",\"host\":\"" + host + "\",\"pathPrefix\":\"" + prefix
            + "\",\"type\":\"unsafe\",\"timeoutMs\":" + timeoutMillis
            + ",\"targetLatencyMs\":60,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":3,\"stretch\":1.6}";
    }
}
