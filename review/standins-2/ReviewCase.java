import java.nio.file.Path;

/** Runs one case and ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class ReviewCase {
    /** True unless the environment sets TROUBLE=0. */
    protected final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    protected Record record;

    /** Returns whether the rule was broken. */
    protected abstract boolean isBroken() throws Exception;

    static final String CONFIG =
        "{\"version\":7,\"routes\":[{\"name\":\"r-spot\",\"host\":\"desk.example\",\"pathPrefix\":\"/spot/\",\"type\":\"unsafe\",\"timeoutMs\":1500,"
            + "\"targetLatencyMs\":60,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":4,\"stretch\":1.6}],\"services\":[{\"name\":\"desk\","
            + "\"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,"
            + "\"rejectsOverload\":false,\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    void run(String folder) {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        int code;
        try (Record opened = new Record(Path.of(folder, "record.txt"))) {
            record = opened;
            try {
                boolean isBroken = isBroken();
                record.add(isBroken ? "RESULT the rule was broken" : "RESULT the rule held");
                code = isBroken ? 1 : 0;
            } catch (Exception e) {
                record.add("RESULT the case could not run: " + e);
                code = 2;
            }
        } catch (Exception e) {
            System.out.println("the record cannot be written: " + e);
            code = 2;
        }
        System.exit(code);
    }
}
